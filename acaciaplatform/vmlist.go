package acaciaplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/acaciaroute/acaciaroute"
)

// vmListClient asks for the list only if it has changed since the last answer.
type vmListClient struct {
	base   string
	client *http.Client

	mu   sync.Mutex
	etag string
	vms  []acaciaroute.VM
}

// NewVMList returns a client of the VM list at a base URL.
func NewVMList(base string, client *http.Client) acaciaroute.VMList {
	return &vmListClient{base: base, client: client}
}

// VMs implements acaciaroute.VMList.
func (v *vmListClient) VMs(ctx context.Context) ([]acaciaroute.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, v.base+"/vms", nil)
	if err != nil {
		return nil, listDown(err)
	}
	if v.etag != "" {
		request.Header.Set("If-None-Match", v.etag)
	}
	response, err := v.client.Do(request)
	if err != nil {
		return nil, listDown(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return v.vms, nil
	case http.StatusOK:
	default:
		return nil, acaciaroute.Errorf(acaciaroute.CodeVMListDown, "VM list answered %d", response.StatusCode)
	}
	var vms []acaciaroute.VM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&vms); err != nil {
		return nil, listDown(err)
	}
	v.vms = vms
	v.etag = response.Header.Get("Etag")
	return vms, nil
}

func listDown(err error) error {
	return &acaciaroute.Error{Code: acaciaroute.CodeVMListDown, Detail: "VM list", Err: err}
}
