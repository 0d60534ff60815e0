package acaciaentry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}

	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

const bearerPrefix = "Bearer "

// routes returns the handler for the entry's public HTTP endpoints.
func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/models", e.authenticate(e.serveModels))
	mux.HandleFunc("POST /v1/chat/completions", e.authenticate(e.withMemory(e.serveModel)))
	mux.HandleFunc("POST /v1/completions", e.authenticate(e.withMemory(e.serveModel)))
	mux.HandleFunc("/services/{service}/{path...}", e.authenticate(e.withMemory(e.servePlain)))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.rejectCall(w, acaciaroute.Errorf(acaciaroute.CodeUnknownService, "no route matches %s %s", r.Method, r.URL.Path))
	})
	return e.closeWhenDraining(mux)
}

// closeWhenDraining wraps a handler so that a draining entry closes each connection after
// its next response. Otherwise a connection could be closed while its caller is sending
// the next request.
func (e *Entry) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// authenticate wraps a handler so that it receives the organisation of the caller's API
// key and the current targets.
func (e *Entry) authenticate(next func(http.ResponseWriter, *http.Request, callerInfo)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := e.process.Configuration.Current()
		targets := current.Targets
		if targets == nil {
			e.rejectCall(w, notReadyError(r))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok {
			e.rejectCall(w, acaciaroute.Errorf(acaciaroute.CodeUnauthenticated, "the Authorization header must carry an API key as a bearer token"))
			return
		}
		organisation, ok := targets.OrganisationOfKey(key)
		if !ok {
			e.rejectCall(w, acaciaroute.Errorf(acaciaroute.CodeUnauthenticated, "the API key belongs to no organisation"))
			return
		}
		next(w, r, callerInfo{organisation: organisation, targets: targets, targetsVersion: current.Version})
	}
}

// notReadyError returns the error for a request that arrives while no targets are in
// force. A request with an idempotency key gets CodeKeyUndecided, because nothing is known
// then about an earlier call with the key.
func notReadyError(r *http.Request) error {
	if r.Header.Get(headerIdempotencyKey) != "" {
		return &acaciaroute.Error{Code: acaciaroute.CodeKeyUndecided, Detail: "no targets are in force; " + undecidedKeyDetail, RetryAfter: time.Second}
	}
	return &acaciaroute.Error{Code: acaciaroute.CodeNotReady, Detail: "no targets are in force", RetryAfter: time.Second}
}

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, caller callerInfo) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range caller.targets.Services {
		for _, model := range service.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: service.Name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request, caller callerInfo, memory *acaciamemory.Request) {
	body, err := e.readBody(w, r, memory)
	if err != nil {
		e.rejectCall(w, err)
		return
	}
	parsed, err := parsePrompt(body, r.URL.Path == "/v1/chat/completions")
	if err != nil {
		e.rejectCall(w, err)
		return
	}
	service, ok := caller.targets.ServiceOfModel(parsed.model)
	if !ok {
		e.rejectCall(w, acaciaroute.Errorf(acaciaroute.CodeUnknownModel, "model %s is not declared", parsed.model))
		return
	}
	req, err := newRequest(r, caller, service)
	if err != nil {
		e.rejectCall(w, err)
		return
	}
	req.model = parsed.model
	req.prompt = parsed
	req.path = r.URL.Path
	req.body, req.memory = body, memory
	e.serveRequest(w, r, req)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, caller callerInfo, memory *acaciamemory.Request) {
	name := r.PathValue("service")
	service, ok := caller.targets.Service(name)
	if !ok || service.Kind != acaciatarget.KindPlain {
		e.rejectCall(w, acaciaroute.Errorf(acaciaroute.CodeUnknownService, "plain service %s is not declared", name))
		return
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		e.rejectCall(w, acaciaroute.Errorf(acaciaroute.CodeMethodNotAllowed, "method %s is not supported", r.Method))
		return
	}
	req, err := newRequest(r, caller, service)
	if err != nil {
		e.rejectCall(w, err)
		return
	}
	req.body, err = e.readBody(w, r, memory)
	if err != nil {
		e.rejectCall(w, err)
		return
	}
	req.memory = memory
	req.path = "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name+"/")
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	e.serveRequest(w, r, req)
}

// rejectCall answers an HTTP request that was rejected before serveRequest.
func (e *Entry) rejectCall(w http.ResponseWriter, err error) {
	id := newRequestID()
	w.Header().Set(headerRequestID, id)
	if w.Header().Get("Connection") != "close" {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
	e.process.Recorder.Record(acaciaevent.Event{
		Kind:      acaciaevent.RequestRefused,
		RequestID: id,
		Code:      errorCode(err),
		Detail:    err.Error(),
		Inputs:    &acaciaevent.Inputs{TargetsVersion: e.process.Configuration.Current().Version},
	})
	e.writeError(w, err)
}

// errorCode returns the code of an *acaciaroute.Error in err's chain, or CodeBadRequest.
func errorCode(err error) acaciaroute.Code {
	var coded *acaciaroute.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return acaciaroute.CodeBadRequest
}
