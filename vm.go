package acaciaroute

import "context"

type (
	// VMState is the state of a VM according to the platform.
	VMState string

	// VM is one entry of the platform's VM list.
	VM struct {
		// ID is the ID of the VM; a replacement VM has another ID.
		ID string
		// Role is RoleEntry or RoleEndpoint.
		Role string
		// Service is the service to which the endpoint on the VM belongs.
		Service string
		// Models lists the models that a model endpoint has loaded.
		Models []string
		// Address is the address of the process on the VM, as IP:port.
		Address string
		// DataCentre is the data centre in which the VM runs.
		DataCentre string
		// Region is the region of the data centre.
		Region string
		// State is VMLive or VMLeaving.
		State VMState
	}

	// VMList is the platform's list of live and leaving VMs. It is out of date by
	// seconds: a listed VM may have failed and a new one may be missing.
	VMList interface {
		// VMs returns the whole list. An error has CodeVMListDown.
		VMs(ctx context.Context) ([]VM, error)
	}
)

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// The roles of a VM.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
)
