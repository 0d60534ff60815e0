package acaciaroute

import (
	"context"
	"net/http"
)

type (
	// Call is the HTTP request that an agent sends to its endpoint.
	Call struct {
		RequestID string
		Method    string
		// Path is the path and query of the URL, as the endpoint expects them.
		Path   string
		Header http.Header
		Body   []byte
	}

	// AnswerHeader is the status and the header of an endpoint's answer.
	AnswerHeader struct {
		Status int
		Header http.Header
	}

	// AnswerPart is one part of an answer; the parts arrive in order.
	AnswerPart struct {
		Data []byte
		// Tokens is the number of generated tokens in the part; zero for plain
		// services.
		Tokens int
	}

	// Answer is the answer to a call while the endpoint is still sending it.
	Answer interface {
		// Header returns the status and the header of the answer.
		Header() AnswerHeader
		// Next returns the next part, and io.EOF only after the complete answer.
		// Any other error means that the answer is truncated.
		Next() (AnswerPart, error)
		// Close ends the call. The endpoint stops work on it soon after.
		Close() error
	}

	// StartError is the error of a call that could not be started. It says whether
	// the call may have reached the endpoint.
	StartError struct {
		// Reached is false only if it is certain that the endpoint never received
		// the call.
		Reached bool
		Err     error
	}

	// Endpoint is a back end: a model engine or a plain service.
	//
	// It admits calls as they arrive and has no priorities.
	Endpoint interface {
		// Start sends the call once, without retries, and returns when the header
		// of the answer has arrived. If it fails, the error is a *StartError.
		Start(ctx context.Context, call Call) (Answer, error)
	}

	// LoadReport is the number of requests that run and wait at an engine, as the
	// engine reports it. It lags by seconds.
	LoadReport struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}

	// CacheEviction reports that an engine has evicted a prompt prefix from its
	// cache. Events arrive late and with gaps.
	CacheEviction struct {
		Sequence int64  `json:"sequence"`
		Prefix   uint64 `json:"prefix"`
	}

	// OrderAction is the action that an order tells an engine to take.
	OrderAction string

	// Order tells an engine to change its models or its role.
	Order struct {
		// Fence is the fencing number. An engine that checks it refuses an order
		// whose number is lower than one it has already seen.
		Fence  Offset      `json:"fence"`
		Action OrderAction `json:"action"`
		Model  string      `json:"model"`
	}

	// Engine is an endpoint that generates tokens by continuous batching.
	Engine interface {
		Endpoint
		// Load returns the engine's load report.
		Load(ctx context.Context) (LoadReport, error)
		// CacheEvictions returns the events after a sequence number.
		CacheEvictions(ctx context.Context, after int64) ([]CacheEviction, error)
		// SendOrder sends an order to the engine. An engine may ignore the fencing
		// number.
		SendOrder(ctx context.Context, order Order) error
	}

	// WeightStore is the rate-limited store of model weights.
	WeightStore interface {
		// Reserve asks for permission to transfer a model's weights. An error with
		// CodeStoreBusy says when to retry.
		Reserve(ctx context.Context, model string) error
	}
)

// OrderLoad is the action that loads a model.
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
