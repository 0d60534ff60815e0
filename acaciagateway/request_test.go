package acaciagateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	var got *http.Request
	var gotBody []byte
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		gotBody, _ = io.ReadAll(r.Body)
		answer(w, r, "filed")
	})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.url+"/unsafe/a%2Fb?q=1", strings.NewReader("plan"))
	assert.NilError(t, err)
	acaciaplatformstandin.Ask(request, "r-1")
	for name, value := range map[string]string{
		acaciaplatformstandin.HeaderDeadline: "2000", "Other": "kept",
		acaciaplatformstandin.HeaderOrganisation: "forged", acaciaplatformstandin.HeaderHold: "forged",
		acaciaplatformstandin.HeaderMemoryFrom: "forged",
	} {
		request.Header.Set(name, value)
	}
	r := do(request)
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "filed")
	assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSeal), "seal")
	assert.Equal(t, got.RequestURI, "/unsafe/a%2Fb?q=1")
	assert.Equal(t, got.Host, acaciaplatformstandin.Host)
	assert.Equal(t, string(gotBody), "plan")
	for name, want := range map[string]string{
		acaciaplatformstandin.HeaderRequestID: "r-1", "Authorization": "", "Other": "kept",
		acaciaplatformstandin.HeaderOrganisation: acaciaplatformstandin.Organisation,
		acaciaplatformstandin.HeaderHold:         "", acaciaplatformstandin.HeaderMemoryFrom: "",
		acaciaplatformstandin.HeaderEndpoint: testEndpoint,
	} {
		assert.Equal(t, got.Header.Get(name), want, name)
	}
	left, err := strconv.Atoi(got.Header.Get(acaciaplatformstandin.HeaderDeadline))
	assert.NilError(t, err)
	assert.Check(t, left > 0 && left <= 2000, "%d", left)
}

func TestRefusalsBeforeAnEndpointIsAsked(t *testing.T) {
	var ran atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		answer(w, r, "")
	})
	assert.Equal(t, b.send(http.MethodGet, "/nowhere/", "r-1", "").status, http.StatusNotFound)
	assert.Equal(t, b.send(http.MethodPost, "/unsafe/", "r-2", strings.Repeat("x", 100001)).status, http.StatusRequestEntityTooLarge)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, b.url+"/safe/", nil)
	assert.NilError(t, err)
	request.Host = acaciaplatformstandin.Host
	request.Header.Set("Authorization", "Bearer unknown")
	assert.Equal(t, do(request).status, http.StatusUnauthorized)
	assert.Equal(t, ran.Load(), int64(0))
}

func TestCallerThatLeavesStopsItsEndpoint(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/safe/", nil)
	assert.NilError(t, err)
	acaciaplatformstandin.Ask(request, "r-1")
	go func() {
		<-began
		cancel()
	}()
	assert.Check(t, do(request).err != nil)
	<-ended
	waitFor(t, func() bool {
		free := false
		b.gateway.loop.Do(func() { free = len(b.gateway.scheduler.Tell(time.Now()).Running) == 0 })
		return free
	})
}

func TestRouteTimeoutIsToldAtOnce(t *testing.T) {
	release := make(chan struct{})
	b := newBed(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, 100, 0))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	r := b.send(http.MethodGet, "/safe/", "r-1", "")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
}

func TestQuotaRefusesWithATime(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, 3000, 1))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	statuses := map[int]int{}
	var last reply
	for i := range 3 {
		last = b.send(http.MethodGet, "/safe/", fmt.Sprintf("r-%d", i), "")
		statuses[last.status]++
	}
	assert.Check(t, statuses[http.StatusTooManyRequests] > 0, "%v", statuses)
	assert.Check(t, last.header.Get("Retry-After") != "")
}

// An organisation is not charged for requests whose callers leave while they wait; those
// that an endpoint has stay charged.
func TestQuotaIsGivenBackForACallerThatLeavesWhileItWaits(t *testing.T) {
	const requests = 8
	b := newBed(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, 60_000, 1_000_000_000))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	used := func() (n int) {
		b.gateway.loop.Do(func() {
			for _, cost := range b.gateway.quota.Used() {
				n += int(cost)
			}
		})
		return n
	}
	// present counts the requests that an endpoint has and those that wait.
	present := func() (running, waiting int) {
		b.gateway.loop.Do(func() {
			told := b.gateway.scheduler.Tell(time.Now())
			for _, count := range told.Running {
				running += count
			}
			for _, ranks := range told.Waiting {
				for _, count := range ranks {
					waiting += count
				}
			}
		})
		return running, waiting
	}
	ended := make(chan struct{}, requests)
	var leave []context.CancelFunc
	for i := range requests {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		leave = append(leave, cancel)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/safe/", nil)
		assert.NilError(t, err)
		acaciaplatformstandin.Ask(request, fmt.Sprintf("r-%d", i))
		go func() {
			do(request)
			ended <- struct{}{}
		}()
		waitFor(t, func() bool {
			running, waiting := present()
			return running+waiting == i+1
		})
	}
	assert.Equal(t, used(), requests)
	atEndpoint, _ := present()
	assert.Assert(t, atEndpoint > 0 && atEndpoint < requests)
	// Requests are placed in the order in which they came.
	for _, cancel := range leave[atEndpoint:] {
		cancel()
	}
	for range requests - atEndpoint {
		<-ended
	}
	waitFor(t, func() bool { return used() == atEndpoint })
}

// A success that does not bear its endpoint's signature is not passed on as one.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(acaciaplatformstandin.HeaderRequestID, r.Header.Get(acaciaplatformstandin.HeaderRequestID))
		_, _ = io.WriteString(w, "whose?")
	})
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Check(t, !strings.Contains(r.body, "whose?"))
}

// Bytes behind a body in chunks are not a request.
func TestBytesBehindAChunkedBodyAreNoRequest(t *testing.T) {
	var ran atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		answer(w, r, "")
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	head := "POST /unsafe/ HTTP/1.1\r\nHost: " + acaciaplatformstandin.Host + "\r\n" + acaciaplatformstandin.HeaderRequestID +
		": %s\r\nAuthorization: Bearer " + acaciaplatformstandin.Key + "\r\n"
	hidden := fmt.Sprintf(head, "r-2") + "Content-Length: 0\r\n\r\n"
	_, err = fmt.Fprintf(conn, head+"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", "r-1", len(hidden)+5, hidden)
	assert.NilError(t, err)
	all, err := io.ReadAll(bufio.NewReader(conn))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(all), "HTTP/1.1 "), 1)
	assert.Equal(t, ran.Load(), int64(1))
}

// An answer beyond the bound is cut short here: it must not be passed on as whole.
func TestAnswerThatIsTooLongIsNotPassedOnCutShort(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, strings.Repeat("x", maxAnswerBytes+1))
	})
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSeal), "")
}
