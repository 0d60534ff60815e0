package acaciagateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// endProof is what an endpoint's address did after an answer had ended with its connection.
type endProof string

const (
	// proofAnswered means that the endpoint's process answered, so that the answer is whole.
	proofAnswered endProof = "answered"
	// proofOtherProcess means that another process answered, or another start of the endpoint.
	proofOtherProcess endProof = "other_process"
	// proofRefused means that nothing listens at the address, proofSilent that no answer came.
	proofRefused endProof = "refused"
	proofSilent  endProof = "silent"
)

const (
	// endProofTimeout bounds the wait for the proof. The caller of a stream has all events by then.
	endProofTimeout = time.Second
	// maxReportBytes is the most that is read of an endpoint's report.
	maxReportBytes = 64 << 10
)

var errEndUnproven = errors.New("the answer ended with its connection, and nothing shows that its endpoint was alive after that")

// proveEnd returns an error unless a response that has ended is shown to be whole. One without a length
// or chunks ends with its connection, as it does when its endpoint crashes. It is whole if the same process
// answers a request that is sent after that. An open connection proves nothing: the operating system
// accepts connections while the process is dying.
func (x *exchange) proveEnd(ctx context.Context, response *acaciaupstream.Response) error {
	if !response.Unframed() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endProofTimeout)
	defer cancel()
	report, err := x.gateway.requestReport(ctx, x.endpoint.Address)
	proof := x.judgeReport(report, err)
	x.gateway.metrics.unframedAnswers.WithLabelValues(string(proof)).Inc()
	if proof == proofAnswered {
		return nil
	}
	event := x.newEvent(acaciaevent.AnswerEndUnproven)
	event.Inputs, event.Detail = x.eventInputs(nil), string(proof)
	x.gateway.recorder.Record(event)
	if err == nil {
		return errEndUnproven
	}
	return fmt.Errorf("%w: %w", errEndUnproven, err)
}

// judgeReport returns what a report, or the error in its place, proves.
func (x *exchange) judgeReport(report acaciaplatform.Report, err error) endProof {
	switch {
	case err == nil && report.Contradicts(x.endpoint):
		return proofOtherProcess
	case err == nil:
		return proofAnswered
	case acaciaupstream.IsRefused(err):
		return proofRefused
	}
	return proofSilent
}

// requestReport asks the process at an endpoint's address for its report. If an idle connection turns
// out to be closed, it asks once more over a new one.
func (g *Gateway) requestReport(ctx context.Context, address string) (acaciaplatform.Report, error) {
	report, err := g.requestReportOnce(ctx, address)
	var upstreamErr *acaciaupstream.Error
	if err != nil && errors.As(err, &upstreamErr) && upstreamErr.Reused {
		g.upstream.CloseIdle(address)
		return g.requestReportOnce(ctx, address)
	}
	return report, err
}

func (g *Gateway) requestReportOnce(ctx context.Context, address string) (acaciaplatform.Report, error) {
	response, err := g.upstream.Send(ctx, acaciaupstream.Call{
		Address: address,
		Method:  http.MethodGet,
		Target:  acaciaplatform.ReportTarget,
		Host:    address,
		// On a reused connection a late copy of an earlier answer may come first.
		MatchesResponse: func(header http.Header, reused bool) bool {
			return !reused || acaciaplatform.DecodeResponse(header).RequestID == ""
		},
	})
	if err != nil {
		return acaciaplatform.Report{}, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return acaciaplatform.Report{}, err
	}
	return acaciaplatform.DecodeReport(response.Header, body), nil
}
