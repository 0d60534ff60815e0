package acaciaentry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// relay forwards the response of one run to one caller and checks that it is
	// complete.
	relay struct {
		entry   *Entry
		w       http.ResponseWriter
		req     *request
		address string
		runID   string
		grant   uint64
		created time.Time
		// remote reports whether the agent is in another region.
		remote bool

		// endpointID is the ID of the agent's VM, or empty if it is unknown.
		endpointID string
		// resumeAttempts counts the attempts to resume the response after a stream broke
		// off.
		resumeAttempts int
		// firstByteAt is when the first byte of the response body was sent to the caller.
		firstByteAt time.Time
		// runConfirmed reports whether the agent has confirmed that the run began.
		runConfirmed bool
		// headChunk is the chunk that carries the response's status and header.
		headChunk *acaciawire.Chunk
		// headerSent reports whether status and header were sent to the caller.
		headerSent bool
		// eventStream reports whether the response is a stream of server-sent events.
		eventStream bool
		// offset is the number of bytes of the body that were sent to the caller; digest is
		// their digest.
		offset int64
		digest *xxhash.Digest
		// keyHolder is the claim that holds the idempotency key, if the agent refused the
		// request for that reason.
		keyHolder acaciakey.Claim
		// permanentlyRefused reports whether the agent will never run the request.
		permanentlyRefused bool
	}

	// chunkStream is a stream of response chunks from an agent.
	chunkStream = connect.ServerStreamForClient[acaciawire.Chunk]
)

const cancelTimeout = 2 * time.Second

func newRelay(e *Entry, w http.ResponseWriter, req *request, address string, grant uint64) *relay {
	return &relay{
		entry:   e,
		w:       w,
		req:     req,
		address: address,
		runID:   req.id,
		created: time.Now(),
		grant:   grant,
		digest:  xxhash.New(),
	}
}

// mayRetry reports whether the request may be dispatched again after a result: it did not
// run, or it may run twice and no part of the response was sent. A repeatable request
// whose run broke off runs only once more, and alone, because it may have crashed its
// endpoint.
func (r *relay) mayRetry(code acaciaroute.Code) bool {
	switch code {
	case acaciaroute.CodeRefused:
		return true
	case acaciaroute.CodeOK, acaciaroute.CodeAbandoned:
		return false
	case acaciaroute.CodeTakenBack:
		return !r.headerSent
	}
	return r.req.mayRunTwice() && !r.headerSent && !r.req.exclusive
}

// recordAccepted records the accepted grant and the inputs of the decision.
func (r *relay) recordAccepted(decision acaciachoice.Decision) {
	r.endpointID = decision.Candidate.ID
	event := r.req.newEvent(acaciaevent.RequestAccepted)
	event.Endpoint = r.endpointID
	r.entry.addDecisionInputs(&event, decision)
	hint := decision.Candidate.Offer.Hint
	event.Inputs.HintAge = acaciaevent.RoundDuration(max(0, decision.Candidate.HintAge))
	event.Inputs.Queued = hint.Waiting
	event.Inputs.Free = hint.FreeSlots
	event.Inputs.TokenGap = acaciaevent.RoundDuration(hint.TokenGap)
	r.entry.process.Recorder.Record(event)
}

// endpoint returns the ID of the VM where the request runs, or the agent's address if the
// ID is unknown.
func (r *relay) endpoint() string {
	if r.endpointID != "" {
		return r.endpointID
	}
	return r.address
}

// run sends the request once to the agent that granted it and relays the response.
func (r *relay) run(ctx context.Context) acaciaroute.Error {
	clock := r.entry.process.Recorder.Clock()
	message := &acaciawire.RunRequest{
		RequestId: r.req.id,
		Grant:     r.grant,
		Method:    r.req.method,
		Path:      r.req.path,
		Header:    acaciawire.HeaderToMessage(r.req.header),
		Body:      r.req.body,
		KeyHash:   r.req.keyHash(),
		Entry:     r.entry.process.Settings.Process.Address,
		Clock:     uint64(clock.Next()),
	}
	r.entry.keyedRuns.markDispatched(r.req.id, r.address)
	r.countRegionBytes(len(r.req.body))
	result, final, err := r.sendRun(ctx, message)
	if final {
		return result
	}
	return r.resume(ctx, err)
}

// sendRun sends the request and relays the response until it ends or the stream breaks
// off; the boolean reports whether the result is final.
func (r *relay) sendRun(ctx context.Context, message *acaciawire.RunRequest) (acaciaroute.Error, bool, error) {
	watchedCtx, stop, watchdog := acaciaprocess.NewWatchdog(ctx, acaciaprocess.SilenceTimeout)
	defer stop()
	stream, err := r.client().Run(watchedCtx, message)
	if err != nil {
		return acaciaroute.Error{}, false, err
	}
	result, final := r.relayStream(ctx, stream, watchdog)
	// A refused message has had no effect, so the agent need not be asked what became of the request.
	if code := acaciaprocess.RefusalCode(stream.Err()); !final && !r.runConfirmed && code != acaciaroute.CodeOK {
		return acaciaroute.Error{Code: acaciaroute.CodeRefused, Detail: "the agent refused the message: " + code.String()}, true, nil
	}
	return result, final, stream.Err()
}

// attach relays the response of an existing run.
func (r *relay) attach(ctx context.Context, runID string) acaciaroute.Error {
	r.runID = runID
	r.runConfirmed = true
	return r.resume(ctx, nil)
}

// relayStream relays the chunks of one stream. The boolean reports whether the result is
// final; if it is not, the response can be resumed with another stream.
func (r *relay) relayStream(ctx context.Context, stream *chunkStream, watchdog *acaciaprocess.Watchdog) (acaciaroute.Error, bool) {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		// A slow caller must not count as a silent agent.
		watchdog.Pause()
		chunk := stream.Msg()
		r.entry.process.Recorder.Clock().Observe(acaciaevent.Stamp(chunk.Clock))
		if chunk.RequestId != r.runID || chunk.Offset > r.offset {
			return acaciaroute.Error{}, false
		}
		if result, final := r.relayChunk(chunk); final {
			return result, true
		}
		watchdog.Reset()
	}
	if ctx.Err() != nil {
		return r.abandon(), true
	}
	return acaciaroute.Error{}, false
}

// relayChunk checks one chunk and forwards it to the caller. The boolean reports whether
// the result is final.
func (r *relay) relayChunk(chunk *acaciawire.Chunk) (acaciaroute.Error, bool) {
	if chunk.Final && acaciaroute.Code(chunk.Code) == acaciaroute.CodeRefused {
		r.keyHolder = acaciakey.Claim{RequestID: chunk.HolderRequestId, Entry: chunk.HolderEntry, KeyHash: r.req.keyHash()}
		r.permanentlyRefused = chunk.ForGood
		return acaciaroute.Error{Code: acaciaroute.CodeRefused, Detail: chunk.Detail}, true
	}
	if !r.runConfirmed {
		r.runConfirmed = true
		r.entry.agentLink.Withdraw(r.address, r.req.id)
	}
	if chunk.Status != 0 {
		r.headChunk = chunk
	}
	if r.headChunk != nil && !r.headerSent && r.mayWriteHeader(chunk) {
		r.writeHeader(r.headChunk)
	}
	// A chunk may repeat bytes that an earlier stream has already delivered.
	if repeated := r.offset - chunk.Offset; repeated < int64(len(chunk.Data)) {
		if err := r.writeBody(chunk.Data[repeated:]); err != nil {
			return r.abandon(), true
		}
	}
	if !chunk.Final {
		return acaciaroute.Error{}, false
	}
	code := acaciaroute.Code(chunk.Code)
	if code != acaciaroute.CodeOK {
		return acaciaroute.Error{Code: code, Detail: chunk.Detail}, true
	}
	if chunk.Total != r.offset || chunk.Digest != r.digest.Sum64() {
		return acaciaroute.Error{Code: acaciaroute.CodeAnswerCut, Detail: "the response's length or digest does not match"}, true
	}
	return acaciaroute.Error{}, true
}

// abandon handles a caller that has disconnected. It cancels the run, unless an
// idempotency key lets the caller return for the response.
func (r *relay) abandon() acaciaroute.Error {
	if r.req.idempotencyKey == "" {
		go r.cancelRun()
	}
	return acaciaroute.Error{Code: acaciaroute.CodeAbandoned, Detail: "the caller disconnected"}
}

func (r *relay) cancelRun() {
	ctx, cancel := context.WithTimeout(r.entry.background, cancelTimeout)
	defer cancel()
	if _, err := r.client().Cancel(ctx, &acaciawire.CancelRequest{RequestId: r.runID}); err != nil {
		r.entry.process.Recorder.RecordCallFailure("cancel run", acaciaevent.Event{RequestID: r.req.id, Endpoint: r.endpoint()}, err)
	}
}

func (r *relay) client() acaciawire.AgentServiceClient {
	return r.entry.process.Clients.Agent(r.address)
}
