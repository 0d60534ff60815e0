package acaciawire

import (
	"errors"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// NewOrderReply returns the reply to an order that ended with err. An error without
// a code, like nil, gives the reply for success.
func NewOrderReply(err error) *OrderReply {
	var coded *acaciaroute.Error
	if !errors.As(err, &coded) {
		return &OrderReply{}
	}
	return &OrderReply{Code: int32(coded.Code), Detail: coded.Detail, RetryAfterUs: coded.RetryAfter.Microseconds()}
}

// OrderReplyError returns the error that a reply holds, or nil if the order
// succeeded.
func OrderReplyError(reply *OrderReply) error {
	if reply.Code == 0 {
		return nil
	}
	return &acaciaroute.Error{
		Code:       acaciaroute.Code(reply.Code),
		Detail:     reply.Detail,
		RetryAfter: time.Duration(reply.RetryAfterUs) * time.Microsecond,
	}
}
