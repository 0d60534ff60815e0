package acaciaroute

import "context"

type (
	// VMState is the platform's view of a VM.
	VMState string

	// VM is one entry of the platform's VM list.
	VM struct {
		// ID names the VM; a replacement has another.
		ID string
		// Role is RoleEntry or RoleEndpoint.
		Role string
		// Service is the service that the endpoint on the VM serves.
		Service string
		// Models lists the models that a model endpoint has loaded.
		Models []string
		// Address is where the system's process on the VM listens, as IP:port.
		Address string
		// DataCentre is where the VM stands.
		DataCentre string
		// Region is the region of the data centre.
		Region string
		// State is live or leaving.
		State VMState
	}

	// VMList is the platform's list of live and leaving VMs. It lags behind the
	// truth by seconds: a listed VM may be dead and a new one may be missing.
	VMList interface {
		// VMs returns the whole list; an error has CodeVMListDown.
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
