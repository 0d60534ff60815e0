package acaciaentry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// errorBody is the JSON error format common to model APIs, with the numbered result
	// code.
	errorBody struct {
		Error errorObject `json:"error"`
	}

	errorObject struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    int    `json:"code"`
		// NotRun reports whether the request is guaranteed not to have run.
		NotRun bool `json:"not_run"`
		// RequestID is the ID under which operators can find the request.
		RequestID string `json:"request_id,omitempty"`
	}
)

// writeError writes an error response. No part of a response may have been written before.
func (e *Entry) writeError(w http.ResponseWriter, err error) {
	var coded *acaciaroute.Error
	if !errors.As(err, &coded) {
		coded = &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: err.Error()}
	}
	e.metrics.countResult(coded.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerCode, strconv.Itoa(int(coded.Code)))
	if coded.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(coded.RetryAfter.Seconds()))))
	}
	w.WriteHeader(coded.Code.HTTPStatus())
	_, _ = w.Write(errorJSON(coded, header.Get(headerRequestID)))
}

func errorJSON(err *acaciaroute.Error, requestID string) []byte {
	data, marshalErr := json.Marshal(errorBody{Error: errorObject{
		Message: err.Detail,
		Type:    err.Code.String(),
		Code:    int(err.Code),
		NotRun:  err.Code.NotRun(),

		RequestID: requestID,
	}})
	if marshalErr != nil {
		return nil
	}
	return append(data, '\n')
}
