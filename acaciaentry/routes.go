package acaciaentry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
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

const bearer = "Bearer "

// routes returns the handler of callers' requests.
func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/models", e.withCaller(e.serveModels))
	mux.HandleFunc("POST /v1/chat/completions", e.withCaller(e.serveModel))
	mux.HandleFunc("POST /v1/completions", e.withCaller(e.serveModel))
	mux.HandleFunc("/services/{service}/{path...}", e.withCaller(e.servePlain))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, acaciaroute.Errorf(acaciaroute.CodeUnknownService, "nothing is served at %s %s", r.Method, r.URL.Path))
	})
	return e.closeConnections(mux)
}

// closeConnections has an entry that stops or leaves close its connections after their
// next answer, so that none is closed while its caller sends the next request.
func (e *Entry) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closing() {
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

// withCaller finds out who calls.
func (e *Entry) withCaller(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := e.process.Keeper.Current()
		targets := current.Targets
		if targets == nil {
			e.refuse(w, notReady(r))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if !ok {
			e.refuse(w, acaciaroute.Errorf(acaciaroute.CodeUnauthenticated, "a key is needed as a bearer token"))
			return
		}
		organisation, ok := targets.OrganisationOfKey(key)
		if !ok {
			e.refuse(w, acaciaroute.Errorf(acaciaroute.CodeUnauthenticated, "the key belongs to no organisation"))
			return
		}
		next(w, r, caller{organisation: organisation, targets: targets, version: current.Version})
	}
}

// notReady refuses a request while no targets are in force. Nothing is known then of an
// earlier call with its key.
func notReady(r *http.Request) error {
	if r.Header.Get(headerKey) != "" {
		return &acaciaroute.Error{Code: acaciaroute.CodeKeyUndecided, Detail: "no targets are in force; " + undecidedDetail, RetryAfter: time.Second}
	}
	return &acaciaroute.Error{Code: acaciaroute.CodeNotReady, Detail: "no targets are in force", RetryAfter: time.Second}
}

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, who caller) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range who.targets.Services {
		for _, model := range service.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: service.Name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request, who caller) {
	body, err := e.readBody(w, r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	parsed, err := parsePrompt(body, r.URL.Path == "/v1/chat/completions")
	if err != nil {
		e.refuse(w, err)
		return
	}
	service, ok := who.targets.ServiceOfModel(parsed.model)
	if !ok {
		e.refuse(w, acaciaroute.Errorf(acaciaroute.CodeUnknownModel, "model %s is not declared", parsed.model))
		return
	}
	req, err := newRequest(r, who, service)
	if err != nil {
		e.refuse(w, err)
		return
	}
	req.model = parsed.model
	req.prompt = parsed
	req.path = r.URL.Path
	req.body = body
	e.serve(w, r, req)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, who caller) {
	name := r.PathValue("service")
	service, ok := who.targets.Service(name)
	if !ok || service.Kind != acaciatarget.KindPlain {
		e.refuse(w, acaciaroute.Errorf(acaciaroute.CodeUnknownService, "plain service %s is not declared", name))
		return
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		e.refuse(w, acaciaroute.Errorf(acaciaroute.CodeMethodNotAllowed, "method %s is not relayed", r.Method))
		return
	}
	req, err := newRequest(r, who, service)
	if err != nil {
		e.refuse(w, err)
		return
	}
	req.body, err = e.readBody(w, r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	req.path = "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name+"/")
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	e.serve(w, r, req)
}

// readBody reads a bounded body in bounded time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	settings := e.process.Settings.Entry
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(time.Duration(settings.BodyTimeout)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, acaciaroute.Errorf(acaciaroute.CodeBodyTooLarge, "the body is longer than %d bytes", settings.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, acaciaroute.Errorf(acaciaroute.CodeBodyTimeout, "the body did not arrive in %s", time.Duration(settings.BodyTimeout))
	case err != nil:
		return nil, &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "the body cannot be read", Err: err}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// refuse answers a request that never became one.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	id := newRequestID()
	w.Header().Set(headerRequestID, id)
	e.process.Recorder.Record(acaciaevent.Event{
		Kind:      acaciaevent.RequestRefused,
		RequestID: id,
		Code:      codeOf(err),
		Detail:    err.Error(),
		Inputs:    &acaciaevent.Inputs{TargetsVersion: e.process.Keeper.Current().Version},
	})
	e.writeError(w, err)
}

func codeOf(err error) acaciaroute.Code {
	var coded *acaciaroute.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return acaciaroute.CodeBadRequest
}
