package acaciagateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabody"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

const (
	// requestBytes is what a request costs besides its head and body: the goroutine's stack and the records of its
	// decisions.
	requestBytes = 16 << 10
	// headCostFactor is how many bytes a byte of a head costs, because the head is parsed, copied and forwarded.
	headCostFactor = 3
	// segmentBytes is what a segment of the prompt costs in the records of a request.
	segmentBytes = 64
	// headLineBytes is the least that a line of a head has besides its name and value: a colon and a line feed.
	headLineBytes = 2
	// unreadBodyTime bounds the time for which the server reads the rest of the body of a refused request.
	unreadBodyTime = time.Second
	// memoryRetryAfter is the Retry-After for requests that give way to others.
	memoryRetryAfter = time.Second
)

// The reasons for which bodies are not read to their end, as metrics name them.
const (
	reasonSize       = "size"
	reasonMemory     = "memory"
	reasonTime       = "time"
	reasonConnection = "connection"
)

// errGaveWay is the cause of the end of a request's context when the request gives way to others.
var errGaveWay = errors.New("the request gives way to others")

// noMemoryError returns the error of a request that gives way to others, which has not run.
func (x *exchange) noMemoryError() error {
	counts := x.gateway.requests.Counts()
	return &acaciaroute.Error{
		Code: acaciaroute.CodeNoMemory, RetryAfter: memoryRetryAfter,
		Detail: fmt.Sprintf("%d requests hold %d of %d bytes, and this one gives way", counts.Requests, counts.Bytes, counts.Limit),
	}
}

// checkLimits checks the head and the announced length against the limits in force.
func (x *exchange) checkLimits() error {
	if x.configuration == nil {
		return nil
	}
	limits := x.configuration.Limits
	if limits.MaxHeaderBytes > 0 && x.headBytes() > int64(limits.MaxHeaderBytes) {
		x.closeAfterError()
		return acaciaroute.Errorf(acaciaroute.CodeHeaderTooLarge, "the head has more than %d bytes", limits.MaxHeaderBytes)
	}
	if limits.MaxBodyBytes > 0 && x.r.ContentLength > limits.MaxBodyBytes {
		x.closeAfterError()
		return x.bodyTooLargeError()
	}
	return nil
}

// headBytes returns the least size that the request's head can have had, without spaces that may be left out.
func (x *exchange) headBytes() int64 {
	size := len(x.r.Method) + len(x.r.RequestURI) + len(x.r.Proto) + headLineBytes + len("Host") + len(x.r.Host) + headLineBytes
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headLineBytes
		}
	}
	return int64(size)
}

// headCost returns what the request costs without its body.
func (x *exchange) headCost() int64 {
	return requestBytes + headCostFactor*x.headBytes() + segmentBytes*int64(len(x.metadata.PromptSegments))
}

// holdMemory registers the request at the memory of requests. If the request must give way, its context is cancelled,
// and the read of its body ends.
func (x *exchange) holdMemory(cancel context.CancelCauseFunc) {
	x.memory = x.gateway.requests.Begin(x.callerName(), x.arrivedAt, func(phase acaciamemory.Phase) {
		cancel(errGaveWay)
		if phase == acaciamemory.PhaseReading {
			_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(0, 1))
		}
	})
}

// callerName returns what the requests of one caller have in common: the organisation, or the address of a request
// that has none.
func (x *exchange) callerName() string {
	if x.organisation != nil {
		return "organisation " + x.organisation.Name
	}
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return x.r.RemoteAddr
	}
	return host
}

// readBody reads the complete body, within the configuration's limits and the memory for requests.
func (x *exchange) readBody(ctx context.Context) error {
	limits, control := x.configuration.Limits, http.NewResponseController(x.w)
	source := acaciabody.Source{
		Body: x.r.Body, Announced: x.r.ContentLength, MaxBytes: limits.MaxBodyBytes, SetReadDeadline: control.SetReadDeadline,
		Deadline: x.deadline, StallTimeout: limits.IdleTimeout,
		Memory: x.memory, HeadBytes: x.headCost(), CostFactor: 1,
	}
	if limits.MaxBodyBytes > 0 {
		source.Body = http.MaxBytesReader(x.w, x.r.Body, limits.MaxBodyBytes)
	}
	body, err := source.Read(ctx)
	if err == nil && !x.memory.Enter(acaciamemory.PhaseWaiting) {
		err = acaciabody.ErrNoMemory
	}
	if err != nil {
		err = x.bodyError(err)
		x.memory.Release()
		x.closeAfterError()
		return err
	}
	x.body = body
	// The server sets its own read deadline for the next request on the connection.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "could not clear the read deadline of the body", Err: err}
	}
	return nil
}

// bodyError returns the error of the gateway for an error of a body.
func (x *exchange) bodyError(err error) error {
	switch {
	case errors.Is(err, acaciabody.ErrTooLarge):
		return x.bodyTooLargeError()
	case errors.Is(err, acaciabody.ErrNoMemory):
		x.gateway.metrics.refusedBodies.WithLabelValues(reasonMemory).Inc()
		return x.noMemoryError()
	case errors.Is(err, acaciabody.ErrTooSlow):
		x.gateway.metrics.refusedBodies.WithLabelValues(reasonTime).Inc()
	default:
		x.gateway.metrics.refusedBodies.WithLabelValues(reasonConnection).Inc()
	}
	return &acaciaroute.Error{Code: acaciaroute.CodeBodyTimeout, Detail: "the body could not be read completely", Err: err}
}

func (x *exchange) bodyTooLargeError() error {
	x.gateway.metrics.refusedBodies.WithLabelValues(reasonSize).Inc()
	return acaciaroute.Errorf(acaciaroute.CodeBodyTooLarge, "the body has more than %d bytes", x.configuration.Limits.MaxBodyBytes)
}

// closeAfterError makes the server close the connection after the answer, without reading the rest of the body.
func (x *exchange) closeAfterError() {
	x.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(0, 1))
}

// limitUnreadBody bounds the time for which the server reads the body of a request that is refused before. A short
// body is read, so that the caller can use the connection again.
func (x *exchange) limitUnreadBody() {
	if x.w.Header().Get("Connection") == "close" {
		x.closeAfterError()
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// passOn records that an endpoint may have the request from now on. It returns an error if the request must give way
// instead.
func (x *exchange) passOn() error {
	if x.memory.Enter(acaciamemory.PhaseRunning) {
		return nil
	}
	return x.noMemoryError()
}
