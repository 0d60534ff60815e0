package acaciaupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// serve answers each connection by a script; it returns the address.
func serve(t *testing.T, script func(conn net.Conn, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, number)
			}()
		}
	}()
	return listener.Addr().String()
}

func call(address, id string, body []byte) Call {
	return Call{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, Body: body,
		Matches: func(header http.Header) bool { return header.Get("Id") == id },
	}
}

func text(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequest reads one request off a connection and returns its ID, empty at the end.
func readRequest(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id")
}

func send(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	answer, err := p.Start(context.Background(), call(address, id, nil))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestAnswersToOtherRequestsArePassedOver(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = io.WriteString(conn, text("other", "foreign")+text(id, "mine "+id))
		}
	})
	p := NewPool()
	defer p.Close()
	body, err := send(t, p, address, "r-1")
	assert.NilError(t, err)
	assert.Equal(t, body, "mine r-1")
}

func TestConnectionWithBytesThatNobodyAskedForIsNotUsedAgain(t *testing.T) {
	connections := make(chan int, 10)
	address := serve(t, func(conn net.Conn, number int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			connections <- number
			_, _ = io.WriteString(conn, text(id, "mine")+"extra")
		}
	})
	p := NewPool()
	defer p.Close()
	for i := range 2 {
		body, err := send(t, p, address, fmt.Sprint("r-", i))
		assert.NilError(t, err)
		assert.Equal(t, body, "mine")
		assert.Equal(t, <-connections, i+1)
	}
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	connections := make(chan int, 10)
	address := serve(t, func(conn net.Conn, number int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			connections <- number
			_, _ = io.WriteString(conn, text(id, "mine"))
		}
	})
	p := NewPool()
	defer p.Close()
	for i := range 3 {
		_, err := send(t, p, address, fmt.Sprint("r-", i))
		assert.NilError(t, err)
		assert.Equal(t, <-connections, 1)
	}
}

func TestFailureSaysWhetherTheRequestMayHaveRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := listener.Addr().String()
	assert.NilError(t, listener.Close())
	dropping := serve(t, func(conn net.Conn, _ int) { readRequest(bufio.NewReader(conn)) })
	p := NewPool()
	defer p.Close()
	for address, reached := range map[string]bool{closed: false, dropping: true} {
		_, err := send(t, p, address, "r")
		var failed *Error
		assert.Check(t, errors.As(err, &failed), "%v", err)
		assert.Equal(t, failed.Reached, reached)
	}
}

func TestAnswerThatIsCutIsNotWhole(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		id := readRequest(bufio.NewReader(conn))
		whole := text(id, "a long answer")
		_, _ = io.WriteString(conn, whole[:len(whole)-3])
	})
	p := NewPool()
	defer p.Close()
	_, err := send(t, p, address, "r")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// An endpoint may refuse a long request before it has read it.
func TestEarlyAnswerToALongRequestIsRead(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		line, _ := bufio.NewReaderSize(conn, 64).ReadString('\n')
		if strings.HasPrefix(line, "POST") {
			_, _ = io.WriteString(conn, text("r", "no"))
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	p := NewPool()
	defer p.Close()
	answer, err := p.Start(context.Background(), call(address, "r", make([]byte, 8<<20)))
	assert.NilError(t, err)
	defer answer.Close()
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "no")
}

func TestEndOfTheContextBreaksTheCallOff(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	address := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		close(began)
		_, _ = reader.ReadByte()
		close(ended)
	})
	p := NewPool()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, err := p.Start(ctx, call(address, "r", nil))
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}
