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
	// relay passes one run's answer to one caller and checks that it is whole.
	relay struct {
		entry   *Entry
		w       http.ResponseWriter
		req     *request
		address string
		runID   string
		grant   uint64
		created time.Time
		// remote tells that the agent stands in another region.
		remote bool

		// id is the VM of the agent, if the entry knows it.
		id string
		// attempts counts how often the agent was asked after a stream broke off.
		attempts int
		// first is when the first byte of the answer's body went to the caller.
		first time.Time
		begun bool
		// head is the chunk with the answer's head until it goes to the caller.
		head    *acaciawire.Chunk
		started bool
		events  bool
		offset  int64
		digest  *xxhash.Digest
		// holder is who holds the key of a request that was refused for it.
		holder acaciakey.Claim
		// barred tells that the agent will never run the request.
		barred bool
	}

	// chunkStream is a stream of chunks from an agent.
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

// mayRunAgain reports whether the request may look for another place after a
// result: it did not run, or it is safe to run twice and has no answer yet. A
// repeatable one whose run broke off runs once more, alone, because it may have killed
// its endpoint.
func (r *relay) mayRunAgain(code acaciaroute.Code) bool {
	switch code {
	case acaciaroute.CodeRefused:
		return true
	case acaciaroute.CodeOK, acaciaroute.CodeAbandoned:
		return false
	case acaciaroute.CodeTakenBack:
		return !r.started
	}
	return r.req.safe() && !r.started && !r.req.alone
}

// accepted notes the grant that was taken, and what spoke for it.
func (r *relay) accepted(decision acaciachoice.Decision) {
	r.id = decision.Candidate.ID
	event := r.req.event(acaciaevent.RequestAccepted)
	event.Endpoint = r.id
	r.entry.describe(&event, decision)
	hint := decision.Candidate.Offer.Hint
	event.Inputs.HintAge = acaciaevent.Span(max(0, decision.Candidate.HintAge))
	event.Inputs.Queued = hint.Waiting
	event.Inputs.Free = hint.Free
	event.Inputs.TokenGap = acaciaevent.Span(hint.Gap)
	r.entry.process.Recorder.Record(event)
}

// endpoint names where the request runs: the VM, or else its agent's address.
func (r *relay) endpoint() string {
	if r.id != "" {
		return r.id
	}
	return r.address
}

// run sends the request to the agent that granted it, once, and relays.
func (r *relay) run(ctx context.Context) acaciaroute.Error {
	clock := r.entry.process.Recorder.Clock()
	message := &acaciawire.RunRequest{
		RequestId: r.req.id,
		Grant:     r.grant,
		Method:    r.req.method,
		Path:      r.req.path,
		Header:    acaciawire.FromHeader(r.req.header),
		Body:      r.req.body,
		KeyHash:   r.req.keyHash(),
		Entry:     r.entry.process.Settings.Process.Address,
		Clock:     uint64(clock.Next()),
	}
	r.entry.keyed.dispatched(r.req.id, r.address)
	r.countLink(len(r.req.body))
	result, final, err := r.relayRun(ctx, message)
	if final {
		return result
	}
	return r.recover(ctx, err)
}

// relayRun sends the request and relays its answer as far as it comes.
func (r *relay) relayRun(ctx context.Context, message *acaciawire.RunRequest) (acaciaroute.Error, bool, error) {
	watched, stop, watchdog := acaciaprocess.NewWatchdog(ctx, acaciaprocess.SilenceTimeout)
	defer stop()
	stream, err := r.client().Run(watched, message)
	if err != nil {
		return acaciaroute.Error{}, false, err
	}
	result, final := r.consume(ctx, stream, watchdog)
	return result, final, stream.Err()
}

// attach relays the answer of a run that exists.
func (r *relay) attach(ctx context.Context, runID string) acaciaroute.Error {
	r.runID = runID
	r.begun = true
	return r.recover(ctx, nil)
}

// consume relays one stream; it reports whether the answer has ended.
func (r *relay) consume(ctx context.Context, stream *chunkStream, watchdog *acaciaprocess.Watchdog) (acaciaroute.Error, bool) {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		// The caller may take a part slowly.
		watchdog.Pause()
		chunk := stream.Msg()
		r.entry.process.Recorder.Clock().Observe(acaciaevent.Stamp(chunk.Clock))
		if chunk.RequestId != r.runID || chunk.Offset > r.offset {
			return acaciaroute.Error{}, false
		}
		if result, final := r.take(chunk); final {
			return result, true
		}
		watchdog.Alive()
	}
	if ctx.Err() != nil {
		return r.abandon(), true
	}
	return acaciaroute.Error{}, false
}

// take checks and passes on one chunk.
func (r *relay) take(chunk *acaciawire.Chunk) (acaciaroute.Error, bool) {
	if chunk.Final && acaciaroute.Code(chunk.Code) == acaciaroute.CodeRefused {
		r.holder = acaciakey.Claim{RequestID: chunk.HolderRequestId, Entry: chunk.HolderEntry, KeyHash: r.req.keyHash()}
		r.barred = chunk.ForGood
		return acaciaroute.Error{Code: acaciaroute.CodeRefused, Detail: chunk.Detail}, true
	}
	if !r.begun {
		r.begun = true
		r.entry.link.Withdraw(r.address, r.req.id)
	}
	if chunk.Status != 0 {
		r.head = chunk
	}
	if r.head != nil && !r.started && r.mayStart(chunk) {
		r.start(r.head)
	}
	// A chunk may repeat bytes that an earlier stream has brought.
	if repeated := r.offset - chunk.Offset; repeated < int64(len(chunk.Data)) {
		if err := r.write(chunk.Data[repeated:]); err != nil {
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
		return acaciaroute.Error{Code: acaciaroute.CodeAnswerCut, Detail: "the answer's length or digest is wrong"}, true
	}
	return acaciaroute.Error{}, true
}

// abandon handles a caller that has gone: the work stops, unless an idempotency
// key lets the caller come back for the answer.
func (r *relay) abandon() acaciaroute.Error {
	if r.req.key == "" {
		go r.cancelRun()
	}
	return acaciaroute.Error{Code: acaciaroute.CodeAbandoned, Detail: "the caller went away"}
}

func (r *relay) cancelRun() {
	ctx, cancel := context.WithTimeout(r.entry.background, cancelTimeout)
	defer cancel()
	if _, err := r.client().Cancel(ctx, &acaciawire.CancelRequest{RequestId: r.runID}); err != nil {
		r.entry.process.Recorder.Failed("cancel the run", acaciaevent.Event{RequestID: r.req.id, Endpoint: r.endpoint()}, err)
	}
}

func (r *relay) client() acaciawire.AgentServiceClient {
	return r.entry.process.Clients.Agent(r.address)
}
