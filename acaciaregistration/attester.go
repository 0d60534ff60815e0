package acaciaregistration

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Attester asks endpoints that have begun streams for their starts.
	Attester struct {
		requestReport RequestReport
		record        RecordStart
		// requested holds endpoints that are to be asked.
		requested chan acaciasite.Endpoint
	}

	// RequestReport asks the process at an endpoint's address for its report.
	RequestReport func(ctx context.Context, address string) (acaciaplatform.Report, error)

	// RecordStart takes whether an endpoint has named the start that it has registered, when it was asked at the
	// given time.
	RecordStart func(endpoint *acaciasite.Endpoint, isStart bool, began time.Time)
)

const (
	// AttesterCount is the number of endpoints that are asked at the same time, so that one that doesn't
	// answer holds up few others.
	AttesterCount = 4
	// attestTimeout bounds a call of an endpoint for its start. The call needs no slot.
	attestTimeout = 300 * time.Millisecond
	// maxAttestations is how many endpoints may wait until they are asked.
	maxAttestations = 256
)

// NewAttester returns an attester that asks nobody until Run.
func NewAttester(requestReport RequestReport, record RecordStart) *Attester {
	return &Attester{requestReport: requestReport, record: record, requested: make(chan acaciasite.Endpoint, maxAttestations)}
}

// Run asks one endpoint after the other until ctx ends; it may run AttesterCount times at once.
func (a *Attester) Run(ctx context.Context) {
	for {
		select {
		case endpoint := <-a.requested:
			a.Attest(ctx, &endpoint)
		case <-ctx.Done():
			return
		}
	}
}

// Request lets an endpoint be asked for its start. While many wait, the next read of the list of
// endpoints has to do.
func (a *Attester) Request(endpoint *acaciasite.Endpoint) {
	select {
	case a.requested <- *endpoint:
	default:
	}
}

// Attest asks an endpoint for its report, and records whether it names the start that it has
// registered. Not all endpoints have a report, and not each report names the start.
func (a *Attester) Attest(ctx context.Context, endpoint *acaciasite.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	began := time.Now()
	report, err := a.requestReport(ctx, endpoint.Address)
	contradicts := err == nil && report.Contradicts(endpoint)
	if err != nil || report.StartedAt.IsZero() && !contradicts {
		return
	}
	a.record(endpoint, !contradicts, began)
}
