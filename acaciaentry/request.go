package acaciaentry

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	// request is a validated request.
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
		// memory is what the request holds of the memory for requests.
		memory         *acaciamemory.Request
		idempotencyKey string
		arrived        time.Time
		// targetsVersion is the version of the targets in force when the request arrived.
		targetsVersion acaciaroute.Offset
		// slack is the time from the request's arrival within which its first token is
		// due.
		slack time.Duration
		// isLowestClass reports whether no class of the service has a lower
		// priority.
		isLowestClass bool
		// exclusive reports whether no other request may run at the endpoint at the same
		// time.
		exclusive bool
		// takenBack reports whether a run was taken back from an endpoint that had become
		// slow.
		takenBack bool
		prompt    prompt
		// excludedEndpoints lists the IDs of the endpoints that have run the request
		// or have refused it permanently.
		excludedEndpoints []string
	}

	// callerInfo holds the organisation that sent a request and the targets that apply
	// to it.
	callerInfo struct {
		organisation   acaciatarget.Organisation
		targets        *acaciatarget.Targets
		targetsVersion acaciaroute.Offset
	}
)

const (
	headerClass          = "Acacia-Class"
	headerDeadline       = "Acacia-Deadline"
	headerCode           = "Acacia-Code"
	headerIdempotencyKey = "Idempotency-Key"
	// headerRequestID carries the ID under which operators can find the request.
	headerRequestID = "X-Request-Id"

	maxKeyBytes = 255
)

// newRequest returns a request with the fields that model and plain services share.
func newRequest(r *http.Request, caller callerInfo, service acaciatarget.Service) (*request, error) {
	class, err := caller.targets.ClassFor(caller.organisation, service.Name, r.Header.Get(headerClass))
	if err != nil {
		return nil, err
	}
	req := &request{
		id:             newRequestID(),
		organisation:   caller.organisation.Name,
		class:          class,
		service:        service,
		method:         r.Method,
		header:         forwardedHeader(r.Header),
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
		arrived:        time.Now(),
		targetsVersion: caller.targetsVersion,
		slack:          class.FirstTokenTarget(),
		isLowestClass:  caller.targets.IsLowestClass(class, service.Name),
	}
	if len(req.idempotencyKey) > maxKeyBytes {
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

// mayRunTwice reports whether the request may run more than once.
func (r *request) mayRunTwice() bool {
	return r.repeatable() || r.service.Kind == acaciatarget.KindPlain && (r.method == http.MethodGet || r.method == http.MethodHead || r.method == http.MethodOptions)
}

// repeatable reports whether the request is a model request whose class permits another
// run. A request with an idempotency key runs only once, because other callers may be
// attached to its run.
func (r *request) repeatable() bool {
	return r.service.Kind == acaciatarget.KindModel && r.class.Repeatable && r.idempotencyKey == ""
}

// contentDigest returns a digest of the request's method, path and body, which does not
// depend on its idempotency key.
func (r *request) contentDigest() string {
	return acaciakey.RequestDigest(r.method, r.path, r.body)
}

// reservation returns the reservation to send to agents.
func (r *request) reservation() acaciaroute.Reservation {
	return acaciaroute.Reservation{
		RequestID:         r.id,
		Service:           r.service.Name,
		Model:             r.model,
		Class:             r.class.Name,
		Rank:              r.class.YieldOrder,
		Organisation:      r.organisation,
		PromptTokens:      r.prompt.tokens,
		OutputTokens:      r.prompt.maxTokens,
		Prefixes:          r.prompt.prefixes,
		Slack:             r.remaining(),
		TokenGap:          time.Duration(r.class.TokenGap),
		Exclusive:         r.exclusive,
		Repeatable:        r.repeatable() && !r.takenBack,
		ExcludedEndpoints: r.excludedEndpoints,
	}
}

// remaining returns the time left until the first token is due.
func (r *request) remaining() time.Duration {
	return r.slack - time.Since(r.arrived)
}

// newEvent returns an event about the request, with its elapsed and remaining time as
// inputs.
func (r *request) newEvent(kind acaciaevent.Kind) acaciaevent.Event {
	return acaciaevent.Event{
		Kind:         kind,
		RequestID:    r.id,
		Service:      r.service.Name,
		Model:        r.model,
		Class:        r.class.Name,
		Rank:         r.class.YieldOrder,
		Organisation: r.organisation,
		Inputs: &acaciaevent.Inputs{
			TargetsVersion: r.targetsVersion,
			Waited:         acaciaevent.RoundedSince(r.arrived),
			RemainingTime:  acaciaevent.RoundDuration(r.remaining()),
		},
	}
}

// forwardedHeader returns the header fields to forward to the endpoint. It drops fields
// that concern the connection and those that the entry itself evaluates.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range []string{
		"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Expect",
		headerClass, headerDeadline, headerIdempotencyKey,
	} {
		forwarded.Del(name)
	}
	return forwarded
}
