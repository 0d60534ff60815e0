package acaciaplatform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	weightStoreClient struct {
		base   string
		client *http.Client
	}

	// ReserveReply is the weight store's answer to a reservation.
	ReserveReply struct {
		Reserved bool `json:"reserved"`
		// RetryAfterUS is when to come back, in microseconds.
		RetryAfterUS int64 `json:"retry_after_us"`
	}
)

// NewWeightStore returns a client of the weight store at a base URL.
func NewWeightStore(base string, client *http.Client) acaciaroute.WeightStore {
	return &weightStoreClient{base: base, client: client}
}

// Reserve implements acaciaroute.WeightStore.
func (w *weightStoreClient) Reserve(ctx context.Context, model string) error {
	var reply ReserveReply
	status, err := callJSON(ctx, w.client, http.MethodPost, w.base+"/weights/"+url.PathEscape(model), nil, &reply)
	if err != nil || status != http.StatusOK {
		return &acaciaroute.Error{Code: acaciaroute.CodeStoreBusy, Detail: "the weight store does not answer", Err: err}
	}
	if !reply.Reserved {
		return &acaciaroute.Error{
			Code:       acaciaroute.CodeStoreBusy,
			Detail:     "the weights of " + model + " cannot be read yet",
			RetryAfter: time.Duration(reply.RetryAfterUS) * time.Microsecond,
		}
	}
	return nil
}
