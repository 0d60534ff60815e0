package acaciaroute

import (
	"context"
	"net/http"
)

type (
	// Call is what an agent sends to its endpoint.
	Call struct {
		RequestID string
		Method    string
		// Path is the path and query as the endpoint expects them.
		Path   string
		Header http.Header
		Body   []byte
	}

	// AnswerHeader is the head of an endpoint's answer.
	AnswerHeader struct {
		Status int
		Header http.Header
	}

	// Piece is a part of an answer, in order.
	Piece struct {
		Data []byte
		// Tokens is how many generated tokens the piece holds; zero for plain
		// services.
		Tokens int
	}

	// Answer is a running call's answer.
	Answer interface {
		// Header returns the answer's head.
		Header() AnswerHeader
		// Next returns the next piece, and io.EOF only after the whole answer.
		// Any other error means that the answer is cut.
		Next() (Piece, error)
		// Close ends the call; the endpoint stops its work soon after.
		Close() error
	}

	// StartError tells whether a call that could not be started reached the
	// endpoint.
	StartError struct {
		// Reached is false only when it is certain that the endpoint never saw
		// the call.
		Reached bool
		Err     error
	}

	// Endpoint is a back end: a model engine or a plain service.
	//
	// It admits calls as they come and knows no priorities.
	Endpoint interface {
		// Start sends the call once, never again, and returns when the answer's
		// head is there. A failed start returns a *StartError.
		Start(ctx context.Context, call Call) (Answer, error)
	}

	// LoadReport is what an engine says of itself, with a lag of seconds.
	LoadReport struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}

	// CacheEvent tells that a prompt prefix has left an engine's cache; events
	// arrive late and with gaps.
	CacheEvent struct {
		Sequence int64  `json:"sequence"`
		Prefix   uint64 `json:"prefix"`
	}

	// OrderAction is what an order tells an engine to do.
	OrderAction string

	// Order tells an engine to change its models or its role.
	Order struct {
		// Fence is the fencing number; an engine that checks it refuses a lower
		// one than it has seen.
		Fence  Offset      `json:"fence"`
		Action OrderAction `json:"action"`
		Model  string      `json:"model"`
	}

	// Engine is an endpoint that generates tokens by continuous batching.
	Engine interface {
		Endpoint
		// Load returns the lagging load report.
		Load(ctx context.Context) (LoadReport, error)
		// CacheEvents returns the events after a sequence number.
		CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
		// Do carries out an order; an engine may ignore the fencing number.
		Do(ctx context.Context, order Order) error
	}

	// WeightStore is the rate-limited store of model weights.
	WeightStore interface {
		// Reserve asks for the transfer of a model's weights; CodeStoreBusy says
		// when to come back.
		Reserve(ctx context.Context, model string) error
	}
)

// OrderLoad loads a model.
const OrderLoad OrderAction = "load"

// String returns the action's name.
func (a OrderAction) String() string {
	return string(a)
}

// Error implements error.
func (e *StartError) Error() string {
	return "start call: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Err
}
