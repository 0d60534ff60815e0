package acaciasystem

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

const (
	ownAnswer     = "the drawing is filed"
	foreignAnswer = "somebody else's drawing"
)

// faultyAgent grants everything and sends wrong chunks when a request runs; from
// Attach it sends the right answer.
type faultyAgent struct {
	acaciawire.UnimplementedAgentServiceHandler
	// spoil changes the chunk that holds the whole answer.
	spoil func(*acaciawire.Chunk)
}

func (f *faultyAgent) Reserve(ctx context.Context, _ *acaciawire.ReserveRequest, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	if err := stream.Send(&acaciawire.OfferMessage{Kind: int32(acaciaroute.OfferGranted), Grant: 1}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (f *faultyAgent) Run(_ context.Context, request *acaciawire.RunRequest, stream *connect.ServerStream[acaciawire.Chunk]) error {
	return sendAnswer(request.RequestId, stream, f.spoil)
}

func (f *faultyAgent) Attach(_ context.Context, request *acaciawire.AttachRequest, stream *connect.ServerStream[acaciawire.Chunk]) error {
	return sendAnswer(request.RequestId, stream, func(*acaciawire.Chunk) {})
}

func (f *faultyAgent) Cancel(context.Context, *acaciawire.CancelRequest) (*acaciawire.CancelReply, error) {
	return &acaciawire.CancelReply{}, nil
}

func sendAnswer(requestID string, stream *connect.ServerStream[acaciawire.Chunk], spoil func(*acaciawire.Chunk)) error {
	if err := stream.Send(&acaciawire.Chunk{RequestId: requestID, Status: http.StatusOK}); err != nil {
		return err
	}
	chunk := &acaciawire.Chunk{
		RequestId: requestID,
		Data:      []byte(ownAnswer),
		Final:     true,
		Total:     int64(len(ownAnswer)),
		Digest:    xxhash.Sum64String(ownAnswer),
	}
	spoil(chunk)
	return stream.Send(chunk)
}

func TestCallerNeverGetsAWrongChunk(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0, 0)
	for name, test := range map[string]struct {
		spoil func(*acaciawire.Chunk)
		whole bool
	}{
		"a chunk of another request": {func(chunk *acaciawire.Chunk) {
			chunk.RequestId = "another"
			chunk.Data = []byte(foreignAnswer)
		}, true},
		"a chunk after a gap": {func(chunk *acaciawire.Chunk) { chunk.Offset = 5 }, true},
		"the data of another request": {func(chunk *acaciawire.Chunk) {
			chunk.Data = []byte(foreignAnswer)[:len(ownAnswer)]
		}, false},
		"an answer that is too short": {func(chunk *acaciawire.Chunk) { chunk.Data = chunk.Data[:7] }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			mux := http.NewServeMux()
			mux.Handle(acaciawire.NewAgentServiceHandler(&faultyAgent{spoil: test.spoil}))
			vm := acaciaroute.VM{ID: "faulty", Role: acaciaroute.RoleEndpoint, Service: "archiv", Address: freeAddress(t), DataCentre: "ost-graz", Region: "ost", State: acaciaroute.VMLive}
			server, err := acaciaprocess.NewPeerServer(ctx, vm.Address, mux)
			assert.NilError(t, err)
			c.setVM(vm)
			time.Sleep(time.Second)
			got := c.call(c.entries[0], http.MethodPost, "/services/archiv/file", "drawing", nil)
			if test.whole {
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, ownAnswer)
			} else {
				assert.Check(t, got.err != nil, "the answer was taken for whole: %q", got.body)
			}
			cancel()
			stopping, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			_ = server.Close(stopping)
		})
	}
}
