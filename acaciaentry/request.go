package acaciaentry

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	// request is one caller's request as the entry has checked it.
	request struct {
		id           string
		organisation string
		class        acaciatarget.Class
		service      acaciatarget.Service
		model        string
		method       string
		path         string
		header       http.Header
		body         []byte
		key          string
		arrived      time.Time
		// version is that of the targets in force when the request came.
		version     acaciaroute.Offset
		slack       time.Duration
		yieldsFirst bool
		alone       bool
		// takenBack tells that a slow endpoint has given the request back.
		takenBack bool
		prompt    prompt
		// avoid names the endpoints that have run the request or will never do so.
		avoid []string
	}

	// caller is who sent a request, and under which targets.
	caller struct {
		organisation acaciatarget.Organisation
		targets      *acaciatarget.Targets
		version      acaciaroute.Offset
	}
)

const (
	headerClass    = "Acacia-Class"
	headerDeadline = "Acacia-Deadline"
	headerCode     = "Acacia-Code"
	headerKey      = "Idempotency-Key"
	// headerRequestID tells callers by which ID operators find their request.
	headerRequestID = "X-Request-Id"

	maxKeyBytes = 255
)

// newRequest returns a request with what does not depend on its kind.
func newRequest(r *http.Request, who caller, service acaciatarget.Service) (*request, error) {
	class, err := who.targets.ClassFor(who.organisation, service.Name, r.Header.Get(headerClass))
	if err != nil {
		return nil, err
	}
	req := &request{
		id:           newRequestID(),
		organisation: who.organisation.Name,
		class:        class,
		service:      service,
		method:       r.Method,
		header:       forwardedHeader(r.Header),
		key:          r.Header.Get(headerKey),
		arrived:      time.Now(),
		version:      who.version,
		slack:        class.TimeToFirst(),
		yieldsFirst:  who.targets.YieldsFirst(class, service.Name),
	}
	if len(req.key) > maxKeyBytes {
		return nil, acaciaroute.Errorf(acaciaroute.CodeBadKey, "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	if text := r.Header.Get(headerDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return nil, acaciaroute.Errorf(acaciaroute.CodeBadDeadline, "%s must be a positive duration such as 1.5s", headerDeadline)
		}
		req.slack = min(req.slack, deadline)
	}
	return req, nil
}

func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// safe reports whether the request may run more than once.
func (r *request) safe() bool {
	return r.repeatable() || r.service.Kind == acaciatarget.KindPlain && (r.method == http.MethodGet || r.method == http.MethodHead || r.method == http.MethodOptions)
}

// repeatable reports whether operators let the model request start again. One with
// an idempotency key runs once: others may be attached to its run.
func (r *request) repeatable() bool {
	return r.service.Kind == acaciatarget.KindModel && r.class.Repeatable && r.key == ""
}

// content names the request's content, whatever its key.
func (r *request) content() string {
	return acaciakey.BodyDigest(r.method, r.path, r.body)
}

// reservation returns what agents are asked for.
func (r *request) reservation() acaciaroute.Reservation {
	return acaciaroute.Reservation{
		RequestID:    r.id,
		Service:      r.service.Name,
		Model:        r.model,
		Class:        r.class.Name,
		Rank:         r.class.YieldOrder,
		Organisation: r.organisation,
		PromptTokens: r.prompt.tokens,
		OutputTokens: r.prompt.maxTokens,
		Prefixes:     r.prompt.prefixes,
		Slack:        r.left(),
		TokenGap:     time.Duration(r.class.TokenGap),
		Alone:        r.alone,
		Repeatable:   r.repeatable() && !r.takenBack,
		Avoid:        r.avoid,
	}
}

// left returns the time left for the first token.
func (r *request) left() time.Duration {
	return r.slack - time.Since(r.arrived)
}

// event returns an event about the request, with its time as inputs.
func (r *request) event(kind acaciaevent.Kind) acaciaevent.Event {
	return acaciaevent.Event{
		Kind:         kind,
		RequestID:    r.id,
		Service:      r.service.Name,
		Model:        r.model,
		Class:        r.class.Name,
		Rank:         r.class.YieldOrder,
		Organisation: r.organisation,
		Inputs: &acaciaevent.Inputs{
			TargetsVersion: r.version,
			Waited:         acaciaevent.Since(r.arrived),
			Left:           acaciaevent.Span(r.left()),
		},
	}
}

// forwardedHeader returns the fields of a caller's header that reach the
// endpoint: none about the connection, and none that the system uses.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range []string{
		"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Expect",
		headerClass, headerDeadline, headerKey,
	} {
		forwarded.Del(name)
	}
	return forwarded
}
