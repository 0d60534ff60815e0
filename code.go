package acaciaroute

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

type (
	// Code is a numeric result code; docs/ERRORS.md lists every value.
	Code int

	// Error is the error type of the whole module: a result code with a description.
	Error struct {
		// Code identifies the kind of failure.
		Code Code
		// Detail describes the failure in one line, for people to read.
		Detail string
		// RetryAfter is how long a caller should wait before it retries; zero if it
		// should not retry.
		RetryAfter time.Duration
		// Err is the cause, if there is one.
		Err error
	}

	codeInfo struct {
		name   string
		status int
	}
)

// The result codes. 1xxx: the request is at fault and was not run. 2xxx: the request was
// not run for another reason. 3xxx: the outcome is unknown or partial. 4xxx: settings,
// targets and publications. 5xxx: the platform.
const (
	CodeOK Code = 0

	CodeBadRequest       Code = 1001
	CodeUnauthenticated  Code = 1002
	CodeClassForbidden   Code = 1003
	CodeUnknownClass     Code = 1004
	CodeUnknownModel     Code = 1005
	CodeUnknownService   Code = 1006
	CodeBodyTooLarge     Code = 1007
	CodeBadDeadline      Code = 1008
	CodeKeyReused        Code = 1009
	CodeBadKey           Code = 1010
	CodeMethodNotAllowed Code = 1011
	CodeBodyTimeout      Code = 1012
	CodeNoRoute          Code = 1013
	CodeHeaderTooLarge   Code = 1014

	CodeShed            Code = 2001
	CodeDeadlineTooNear Code = 2002
	CodeNoEndpoint      Code = 2003
	CodeNotReady        Code = 2004
	CodeRefused         Code = 2007
	CodeCancelled       Code = 2008
	CodePoison          Code = 2009
	CodeQuota           Code = 2010
	CodePoisonContent   Code = 2011
	CodeStreamLost      Code = 2012
	CodeOriginUnknown   Code = 2013
	CodeNoMemory        Code = 2014

	CodeOutcomeUnknown Code = 3001
	CodeAnswerCut      Code = 3002
	CodeEngineFailed   Code = 3003
	CodeAbandoned      Code = 3004
	CodeTakenBack      Code = 3005
	CodeKeyUndecided   Code = 3006
	CodeTimeout        Code = 3007

	CodeBadSettings        Code = 4001
	CodeBadTargets         Code = 4002
	CodePublicationStale   Code = 4003
	CodePublicationUnknown Code = 4004

	CodeLogDown     Code = 5001
	CodeLogTrimmed  Code = 5002
	CodeVMListDown  Code = 5003
	CodePeerDown    Code = 5004
	CodeOrderFenced Code = 5005
	CodeStoreBusy   Code = 5006

	CodeOrderUnsettled Code = 5007

	CodeLogUnreached Code = 5008
	CodeBadAnswer    Code = 5009

	CodeStoreConflict Code = 5010
)

var codeInfos = map[Code]codeInfo{
	CodeOK: {"ok", http.StatusOK},

	CodeBadRequest:       {"bad_request", http.StatusBadRequest},
	CodeUnauthenticated:  {"unauthenticated", http.StatusUnauthorized},
	CodeClassForbidden:   {"class_forbidden", http.StatusForbidden},
	CodeUnknownClass:     {"unknown_class", http.StatusBadRequest},
	CodeUnknownModel:     {"unknown_model", http.StatusNotFound},
	CodeUnknownService:   {"unknown_service", http.StatusNotFound},
	CodeBodyTooLarge:     {"body_too_large", http.StatusRequestEntityTooLarge},
	CodeBadDeadline:      {"bad_deadline", http.StatusBadRequest},
	CodeKeyReused:        {"key_reused", http.StatusUnprocessableEntity},
	CodeBadKey:           {"bad_key", http.StatusBadRequest},
	CodeMethodNotAllowed: {"method_not_allowed", http.StatusMethodNotAllowed},
	CodeBodyTimeout:      {"body_timeout", http.StatusRequestTimeout},
	CodeNoRoute:          {"no_route", http.StatusNotFound},
	CodeHeaderTooLarge:   {"header_too_large", http.StatusRequestHeaderFieldsTooLarge},

	CodeShed:            {"shed", http.StatusServiceUnavailable},
	CodeDeadlineTooNear: {"deadline_too_near", http.StatusServiceUnavailable},
	CodeNoEndpoint:      {"no_endpoint", http.StatusServiceUnavailable},
	CodeNotReady:        {"not_ready", http.StatusServiceUnavailable},
	CodeRefused:         {"refused", http.StatusServiceUnavailable},
	CodeCancelled:       {"cancelled", 499},
	CodePoison:          {"poison", http.StatusUnprocessableEntity},
	CodeQuota:           {"quota", http.StatusTooManyRequests},
	CodePoisonContent:   {"poison_content", http.StatusServiceUnavailable},
	CodeStreamLost:      {"stream_lost", http.StatusMisdirectedRequest},
	CodeOriginUnknown:   {"origin_unknown", http.StatusServiceUnavailable},
	CodeNoMemory:        {"no_memory", http.StatusServiceUnavailable},

	CodeOutcomeUnknown: {"outcome_unknown", http.StatusBadGateway},
	CodeAnswerCut:      {"answer_cut", http.StatusBadGateway},
	CodeEngineFailed:   {"engine_failed", http.StatusBadGateway},
	CodeAbandoned:      {"abandoned", 499},
	CodeTakenBack:      {"taken_back", http.StatusServiceUnavailable},
	CodeKeyUndecided:   {"key_undecided", http.StatusServiceUnavailable},
	CodeTimeout:        {"timeout", http.StatusGatewayTimeout},

	CodeBadSettings:        {"bad_settings", http.StatusBadRequest},
	CodeBadTargets:         {"bad_targets", http.StatusBadRequest},
	CodePublicationStale:   {"publication_stale", http.StatusConflict},
	CodePublicationUnknown: {"publication_unknown", http.StatusBadGateway},

	CodeLogDown:     {"log_down", http.StatusServiceUnavailable},
	CodeLogTrimmed:  {"log_trimmed", http.StatusGone},
	CodeVMListDown:  {"vm_list_down", http.StatusServiceUnavailable},
	CodePeerDown:    {"peer_down", http.StatusBadGateway},
	CodeOrderFenced: {"order_fenced", http.StatusConflict},
	CodeStoreBusy:   {"store_busy", http.StatusTooManyRequests},

	CodeOrderUnsettled: {"order_unsettled", http.StatusConflict},

	CodeLogUnreached: {"log_unreached", http.StatusServiceUnavailable},
	CodeBadAnswer:    {"bad_answer", http.StatusBadGateway},

	CodeStoreConflict: {"store_conflict", http.StatusPreconditionFailed},
}

// Codes returns every known code.
func Codes() []Code {
	codes := make([]Code, 0, len(codeInfos))
	for code := range codeInfos {
		codes = append(codes, code)
	}
	return codes
}

// String returns the code's name in snake case, or code_<number> for an unknown code.
func (c Code) String() string {
	info, ok := codeInfos[c]
	if !ok {
		return fmt.Sprintf("code_%d", int(c))
	}
	return info.name
}

// HTTPStatus returns the HTTP status of a response with the code; 500 for an unknown code.
func (c Code) HTTPStatus() int {
	info, ok := codeInfos[c]
	if !ok {
		return http.StatusInternalServerError
	}
	return info.status
}

// NotRun reports whether the code guarantees that the request did not run.
func (c Code) NotRun() bool {
	return c >= 1000 && c < 3000
}

// HasCode reports whether an error, or one that it wraps, is an Error with a code.
func HasCode(err error, code Code) bool {
	var coded *Error
	return errors.As(err, &coded) && coded.Code == code
}

// Errorf returns an Error whose detail is formatted as by fmt.Sprintf.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
