package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// processEvents is the number of events of a whole stream of a replica process, processPause the time
	// before each of them.
	processEvents = 24
	processPause  = 30 * time.Millisecond
)

// replicaProcess is a replica in a process of its own, which can be killed.
type replicaProcess struct {
	bed     *bed
	id      string
	command *exec.Cmd
	ended   chan struct{}
	once    sync.Once
}

// serveReplica is the program of a replica process. Its streams have neither a length nor chunks and end with
// their connection. It says on standard output where it listens and which requests it runs.
func serveReplica(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	slots := make(chan struct{}, replicaSlots)
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(headerRequestID)
		if r.Header.Get("Expect-Instance") != id {
			w.Header().Set(headerRequestID, request)
			notRun(w, http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slots }()
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = os.Stdout.WriteString("run " + request + "\n")
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nResponse-Seal: seal.%s.%s\r\n\r\n",
			headerRequestID, request, request, id)
		for event := 1; event <= processEvents && err == nil; event++ {
			time.Sleep(processPause)
			_, err = fmt.Fprint(conn, eventText(request, event))
		}
		_, _ = os.Stdout.WriteString("end " + request + " " + strconv.FormatBool(err == nil) + "\n")
	}))
}

func eventText(request string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", event, request, event)
}

// wholeStream returns the body of a whole stream.
func wholeStream(request string) string {
	var text strings.Builder
	for event := 1; event <= processEvents; event++ {
		text.WriteString(eventText(request, event))
	}
	return text.String()
}

// startReplica starts a replica process, with a new ID and at a new address.
func (b *bed) startReplica() *replicaProcess {
	p := &replicaProcess{bed: b, id: fmt.Sprintf("i-%08x", b.nextID.Add(1)*2654435761&0xffffffff), ended: make(chan struct{})}
	program, err := os.Executable()
	if err != nil {
		panic(err)
	}
	p.command = exec.Command(program, "replica", p.id)
	output, err := p.command.StdoutPipe()
	if err != nil {
		panic(err)
	}
	if err := p.command.Start(); err != nil {
		panic(err)
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		panic("the replica doesn't say where it listens")
	}
	address := lines.Text()
	b.record("%s started, process %d, at %s", p.id, p.command.Process.Pid, address)
	go p.readRuns(lines)
	go p.beat(address)
	return p
}

// readRuns records which requests the replica runs.
func (p *replicaProcess) readRuns(lines *bufio.Scanner) {
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "run "); ok {
			p.bed.recordRun(id, p.id, true)
		}
		p.bed.record("%s: %s", p.id, lines.Text())
	}
}

// beat writes the replica's entry to the store again and again; it expires after three heartbeats.
func (p *replicaProcess) beat(address string) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		p.bed.store.putJSON("keyed.servers", p.id, map[string]any{
			"service": engine, "address": address, "zone": "almaty-a", "version": "v1", "slots": replicaSlots,
			"state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born,
		})
		select {
		case <-time.After(heartbeat):
		case <-p.ended:
			time.Sleep(3 * heartbeat)
			p.bed.store.put("keyed.servers", p.id, nil)
			return
		}
	}
}

// kill kills the process.
func (p *replicaProcess) kill() {
	p.once.Do(func() {
		close(p.ended)
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		p.bed.record("%s was killed", p.id)
	})
}
