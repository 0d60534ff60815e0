package acaciagateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
)

const (
	// maxResponseBytes bounds the body of a plain response whose length isn't known in advance.
	maxResponseBytes = 32 << 20
	// maxKeptBytes is the largest body that is read completely before any of it is sent, so that
	// the request can still run again, if its length is known in advance.
	maxKeptBytes = 1 << 20
	// A body of unknown length is read in blocks, a first one that suffices for most.
	firstBlockBytes = 4 << 10
	blockBytes      = 64 << 10
)

var errResponseTooLong = errors.New("the response exceeds the size limit")

// relayPlain reads a response completely before it forwards it to the caller, unless it is known to be long.
func (x *exchange) relayPlain(ctx context.Context, response *acaciaupstream.Response, wd *watchdog) (callOutcome, acaciaschedule.Failure, error) {
	if response.Length > maxKeptBytes && x.r.Method != http.MethodHead {
		return x.relayLong(ctx, response, wd)
	}
	held := x.gateway.answers.Hold(x.evictAnswer(wd))
	defer held.Release()
	blocks, size, err := readBlocks(response, func(size int) { held.Resize(size, time.Now()) })
	wd.stall.stop()
	if err == nil {
		err = x.proveEnd(ctx, response)
	}
	if err != nil {
		return x.classifyReadError(ctx, response, wd, err)
	}
	x.copyHeader(response)
	if response.Length >= 0 || size > 0 {
		x.w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	x.w.WriteHeader(response.Status)
	for i, block := range blocks {
		if err := x.writeAnswer(held, block); err != nil {
			return outcomeCallerGone, plainFailure(response), err
		}
		blocks[i] = nil
		size -= len(block)
		held.Resize(size, time.Now())
	}
	x.recordDelivered(response.Status)
	return outcomeDelivered, plainFailure(response), nil
}

// relayLong forwards a response with a known length as it arrives. Once its header is sent the request
// can't run again; if the response ends early, so does that to the caller.
func (x *exchange) relayLong(ctx context.Context, response *acaciaupstream.Response, wd *watchdog) (callOutcome, acaciaschedule.Failure, error) {
	if !wd.pin() {
		return x.classifyReadError(ctx, response, wd, context.Cause(wd.ctx))
	}
	wd.stall.stop()
	x.headerSent = true
	x.copyHeader(response)
	x.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	x.w.WriteHeader(response.Status)
	held := x.gateway.answers.Hold(x.evictAnswer(wd))
	defer held.Release()
	held.Resize(blockBytes, time.Now())
	block := make([]byte, blockBytes)
	for {
		n, err := response.Read(block)
		if writeErr := x.writeAnswer(held, block[:n]); writeErr != nil {
			return outcomeCallerGone, plainFailure(response), writeErr
		}
		if errors.Is(err, io.EOF) {
			x.recordDelivered(response.Status)
			return outcomeDelivered, plainFailure(response), nil
		}
		if err != nil {
			return x.classifyReadError(ctx, response, wd, err)
		}
	}
}

// plainFailure returns the failure that a complete plain response tells of, 0 if it tells of none.
func plainFailure(response *acaciaupstream.Response) acaciaschedule.Failure {
	if response.Status >= http.StatusInternalServerError {
		return acaciaschedule.FailureErrorResponse
	}
	return 0
}

// readBlocks reads a body to its end, without copying what has come when more does. It reports to resize how
// many bytes it holds.
func readBlocks(body io.Reader, resize func(held int)) (blocks [][]byte, size int, err error) {
	held, next := 0, firstBlockBytes
	for {
		held += next
		resize(held)
		block := make([]byte, next)
		n, err := fill(body, block)
		if n > 0 {
			blocks, size = append(blocks, block[:n]), size+n
		}
		switch {
		case size > maxResponseBytes:
			return nil, 0, errResponseTooLong
		case errors.Is(err, io.EOF):
			return blocks, size, nil
		case err != nil:
			return nil, 0, err
		}
		next = blockBytes
	}
}

// fill reads until the block is full or an error occurs. Unlike io.ReadFull it returns the reader's own error.
func fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var m int
		m, err = r.Read(block[n:])
		n += m
	}
	return n, err
}
