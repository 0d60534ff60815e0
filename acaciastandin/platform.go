package acaciastandin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/acaciaroute/acaciaroute"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type platformHandler struct {
	log     *Log
	vms     *VMList
	weights *WeightStore
}

// NewPlatformHandler serves a log service, a VM list and a weight store over HTTP,
// in the form that acaciaplatform reads, and takes orders to set faults.
func NewPlatformHandler(log *Log, vms *VMList, weights *WeightStore) http.Handler {
	h := &platformHandler{log: log, vms: vms, weights: weights}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", h.append)
	mux.HandleFunc("GET /streams/{stream}", h.read)
	mux.HandleFunc("GET /streams/{stream}/head", h.head)
	mux.HandleFunc("POST /faults", h.fault)
	mux.HandleFunc("POST /weights/{model}", h.reserve)
	mux.HandleFunc("GET /vms", h.list)
	mux.HandleFunc("POST /vms/faults", h.faultList)
	mux.HandleFunc("PUT /vms", h.set)
	mux.HandleFunc("DELETE /vms/{id}", h.remove)
	return mux
}

func (h *platformHandler) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), data)
	reply(w, acaciaplatform.AppendReply{Offset: &offset}, err)
}

func (h *platformHandler) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(r.URL.Query().Get("limit"))
	if err := errors.Join(err, limitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := h.log.Read(r.Context(), r.PathValue("stream"), acaciaroute.Offset(from), limit)
	answer := acaciaplatform.ReadReply{}
	for _, record := range records {
		answer.Records = append(answer.Records, acaciaplatform.RecordReply{Offset: &record.Offset, Data: record.Data})
	}
	reply(w, answer, err)
}

func (h *platformHandler) head(w http.ResponseWriter, r *http.Request) {
	oldest, next, err := h.log.Head(r.Context(), r.PathValue("stream"))
	reply(w, acaciaplatform.HeadReply{Oldest: &oldest, Next: &next}, err)
}

func (h *platformHandler) fault(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if decodeBody(w, r, &faults) {
		h.log.SetFaults(faults)
	}
}

func (h *platformHandler) faultList(w http.ResponseWriter, r *http.Request) {
	var faults VMListFaults
	if decodeBody(w, r, &faults) {
		h.vms.SetFaults(faults)
	}
}

// decodeBody reads a request's JSON body, or answers that it is bad.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(r.Body).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (h *platformHandler) reserve(w http.ResponseWriter, r *http.Request) {
	answer := acaciaplatform.ReserveReply{Reserved: true}
	var busy *acaciaroute.Error
	if errors.As(h.weights.Reserve(r.Context(), r.PathValue("model")), &busy) {
		answer = acaciaplatform.ReserveReply{RetryAfterUS: busy.RetryAfter.Microseconds()}
	}
	reply(w, answer, nil)
}

func (h *platformHandler) list(w http.ResponseWriter, r *http.Request) {
	vms, err := h.vms.VMs(r.Context())
	etag := h.vms.etag()
	if err == nil && r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	replies := make([]acaciaplatform.VMReply, len(vms))
	for i, vm := range vms {
		replies[i] = acaciaplatform.NewVMReply(vm)
	}
	w.Header().Set("Etag", etag)
	reply(w, replies, err)
}

func (h *platformHandler) set(w http.ResponseWriter, r *http.Request) {
	var vm acaciaplatform.VMReply
	if decodeBody(w, r, &vm) {
		h.vms.Set(vm.VM())
	}
}

func (h *platformHandler) remove(_ http.ResponseWriter, r *http.Request) {
	h.vms.Remove(r.PathValue("id"))
}

// reply answers in JSON, or with the status that fits the error's code.
func reply(w http.ResponseWriter, value any, err error) {
	var coded *acaciaroute.Error
	if errors.As(err, &coded) {
		http.Error(w, coded.Error(), coded.Code.HTTPStatus())
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
