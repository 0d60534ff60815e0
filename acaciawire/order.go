package acaciawire

import (
	"errors"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// FromOrderError returns the reply that tells how an order ended.
func FromOrderError(err error) *OrderReply {
	var coded *acaciaroute.Error
	if !errors.As(err, &coded) {
		return &OrderReply{}
	}
	return &OrderReply{Code: int32(coded.Code), Detail: coded.Detail, RetryAfterUs: coded.RetryAfter.Microseconds()}
}

// ToOrderError returns the error that a reply tells of, or nil.
func ToOrderError(reply *OrderReply) error {
	if reply.Code == 0 {
		return nil
	}
	return &acaciaroute.Error{
		Code:       acaciaroute.Code(reply.Code),
		Detail:     reply.Detail,
		RetryAfter: time.Duration(reply.RetryAfterUs) * time.Microsecond,
	}
}
