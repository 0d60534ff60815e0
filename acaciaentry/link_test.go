package acaciaentry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// brittleAgent breaks the first streams off and then grants.
type brittleAgent struct {
	acaciawire.UnimplementedAgentServiceHandler
	broken int64
	calls  atomic.Int64
}

func (a *brittleAgent) Reserve(_ context.Context, _ *acaciawire.ReserveRequest, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	if a.calls.Add(1) <= a.broken {
		panic(http.ErrAbortHandler)
	}
	return stream.Send(&acaciawire.OfferMessage{Kind: int32(acaciaroute.OfferGranted), Grant: 7})
}

// lateAgent grants a moment after it was asked.
type lateAgent struct {
	acaciawire.UnimplementedAgentServiceHandler
}

func (a *lateAgent) Reserve(ctx context.Context, _ *acaciawire.ReserveRequest, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	select {
	case <-time.After(5 * time.Millisecond):
	case <-ctx.Done():
		return nil
	}
	if err := stream.Send(&acaciawire.OfferMessage{Kind: int32(acaciaroute.OfferGranted), Grant: 7}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// startLink returns a link and the address of an agent.
func startLink(t *testing.T, agent acaciawire.AgentServiceHandler) (*link, string) {
	t.Helper()
	ctx := context.Background()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	if agent != nil {
		mux := http.NewServeMux()
		mux.Handle(acaciawire.NewAgentServiceHandler(agent))
		server, err := acaciaprocess.NewPeerServer(ctx, address, mux)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = server.Close(ctx) })
	}
	platform := acaciaprocess.Platform{Log: acaciastandin.NewLog(), VMList: acaciastandin.NewVMList()}
	process := acaciaprocess.New(ctx, acaciasetting.Settings{}, acaciaroute.RoleEntry, platform, logr.Discard())
	t.Cleanup(process.Loop.Close)
	t.Cleanup(process.Clients.Close)
	return newLink(ctx, process), address
}

// reserve asks an agent for a place and returns its first offer.
func reserve(t *testing.T, agent acaciawire.AgentServiceHandler) acaciaroute.Offer {
	t.Helper()
	l, address := startLink(t, agent)
	offers := make(chan acaciaroute.Offer, 10)
	l.Reserve(address, acaciaroute.Reservation{RequestID: "r", Slack: time.Minute}, func(offer acaciaroute.Offer) { offers <- offer })
	defer l.Withdraw(address, "r")
	return <-offers
}

// A connection that died unnoticed was once taken for the agent's refusal: a request was
// shed although its only endpoint had room.
func TestBrokenStreamIsNoRefusal(t *testing.T) {
	agent := &brittleAgent{broken: reserveTries - 1}
	offer := reserve(t, agent)
	assert.Equal(t, offer.Kind, acaciaroute.OfferGranted)
	assert.Equal(t, offer.Grant, uint64(7))
	assert.Equal(t, agent.calls.Load(), int64(reserveTries))
}

func TestAgentThatCannotBeReachedIsToldFromOneThatRefuses(t *testing.T) {
	offer := reserve(t, &brittleAgent{broken: 100})
	assert.Equal(t, offer.Kind, acaciaroute.OfferRefused)
	assert.Check(t, offer.Unreached)
	offer = reserve(t, nil)
	assert.Equal(t, offer.Kind, acaciaroute.OfferRefused)
	assert.Check(t, offer.Unreached)
}

// A request whose run broke off may ask the same agent again before the end of its first
// reservation was noticed here; that end once took the new reservation with it, and the
// request waited until its time was over.
func TestEndOfAnOldReservationLeavesTheNewOne(t *testing.T) {
	const patience = 5 * time.Second
	l, address := startLink(t, &lateAgent{})
	for i := range 50 {
		offers := make(chan acaciaroute.Offer, 10)
		ask := func() {
			l.Reserve(address, acaciaroute.Reservation{RequestID: "r", Slack: time.Minute}, func(offer acaciaroute.Offer) { offers <- offer })
		}
		ask()
		<-offers
		l.Withdraw(address, "r")
		ask()
		select {
		case offer := <-offers:
			assert.Equal(t, offer.Kind, acaciaroute.OfferGranted)
		case <-time.After(patience):
			t.Fatalf("reservation %d has got no offer", i)
		}
		l.Withdraw(address, "r")
	}
}
