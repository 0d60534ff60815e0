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

// NewPlatformHandler returns a handler that serves a log service, a VM list and a weight
// store over HTTP in the format that acaciaplatform reads. POST /faults and POST
// /vms/faults set the faults to inject.
func NewPlatformHandler(log *Log, vms *VMList, weights *WeightStore) http.Handler {
	h := &platformHandler{log: log, vms: vms, weights: weights}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", h.appendRecord)
	mux.HandleFunc("GET /streams/{stream}", h.readRecords)
	mux.HandleFunc("GET /streams/{stream}/head", h.serveStreamHead)
	mux.HandleFunc("POST /faults", h.setLogFaults)
	mux.HandleFunc("POST /weights/{model}", h.reserveWeights)
	mux.HandleFunc("GET /vms", h.listVMs)
	mux.HandleFunc("POST /vms/faults", h.setVMListFaults)
	mux.HandleFunc("PUT /vms", h.setVM)
	mux.HandleFunc("DELETE /vms/{id}", h.removeVM)
	return mux
}

func (h *platformHandler) appendRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), data)
	writeReply(w, acaciaplatform.AppendReply{Offset: &offset}, err)
}

func (h *platformHandler) readRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(r.URL.Query().Get("limit"))
	if err := errors.Join(err, limitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := h.log.Read(r.Context(), r.PathValue("stream"), acaciaroute.Offset(from), limit)
	response := acaciaplatform.ReadReply{}
	for _, record := range records {
		response.Records = append(response.Records, acaciaplatform.RecordReply{Offset: &record.Offset, Data: record.Data})
	}
	writeReply(w, response, err)
}

func (h *platformHandler) serveStreamHead(w http.ResponseWriter, r *http.Request) {
	oldest, next, err := h.log.Head(r.Context(), r.PathValue("stream"))
	writeReply(w, acaciaplatform.HeadReply{Oldest: &oldest, Next: &next}, err)
}

func (h *platformHandler) setLogFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if decodeBody(w, r, &faults) {
		h.log.SetFaults(faults)
	}
}

func (h *platformHandler) setVMListFaults(w http.ResponseWriter, r *http.Request) {
	var faults VMListFaults
	if decodeBody(w, r, &faults) {
		h.vms.SetFaults(faults)
	}
}

// decodeBody reports whether it decoded the JSON body of a request into target. If not,
// it has replied with status 400.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(r.Body).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (h *platformHandler) reserveWeights(w http.ResponseWriter, r *http.Request) {
	response := acaciaplatform.ReserveReply{Reserved: true}
	var busyErr *acaciaroute.Error
	if errors.As(h.weights.Reserve(r.Context(), r.PathValue("model")), &busyErr) {
		response = acaciaplatform.ReserveReply{RetryAfterUS: busyErr.RetryAfter.Microseconds()}
	}
	writeReply(w, response, nil)
}

func (h *platformHandler) listVMs(w http.ResponseWriter, r *http.Request) {
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
	writeReply(w, replies, err)
}

func (h *platformHandler) setVM(w http.ResponseWriter, r *http.Request) {
	var vm acaciaplatform.VMReply
	if decodeBody(w, r, &vm) {
		h.vms.Set(vm.VM())
	}
}

func (h *platformHandler) removeVM(_ http.ResponseWriter, r *http.Request) {
	h.vms.Remove(r.PathValue("id"))
}

// writeReply writes value as JSON or, if err is not nil, the error with the status of its
// code, which is 500 for an error without a code.
func writeReply(w http.ResponseWriter, value any, err error) {
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
