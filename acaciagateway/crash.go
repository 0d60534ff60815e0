package acaciagateway

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// runningCall is a call of an endpoint whose answer is not whole yet.
type runningCall struct {
	// attempts holds what the table of crashes said of the request's traits when it was sent.
	attempts []int
	// stage is the one that the answer has reached.
	stage  acaciacrash.Stage
	cancel context.CancelCauseFunc
}

const (
	// maxNamedSegments is the most segments that a refusal names.
	maxNamedSegments = 8
)

var errBanned = errors.New("endpoints crashed while running requests like this one")

// requestTraits returns the traits by which a request that crashes endpoints is recognised: the
// segments of its prompt, each once and without the last, which no other request shares, and then
// its content. A prompt with too many segments is recognised by its content only: any of them may be the one
// that crashes endpoints, and those that weren't looked at couldn't be told from the others.
func requestTraits(metadata *acaciasite.Request, method, target, organisation string, body []byte) []acaciacrash.Trait {
	content := xxhash.New()
	writeText(content, metadata.Model, method, target, organisation)
	for _, segment := range metadata.PromptSegments {
		// Writes to a hash never fail.
		_, _ = content.Write(binary.BigEndian.AppendUint64(nil, segment.ID))
	}
	_, _ = content.Write(body)
	traits := segmentTraits(metadata)
	if len(traits) >= acaciacrash.MaxTraits {
		traits = nil
	}
	return append(traits, acaciacrash.Trait(content.Sum64()))
}

// segmentTraits returns the traits of the segments of a prompt but the last, each once.
func segmentTraits(metadata *acaciasite.Request) []acaciacrash.Trait {
	last := len(metadata.PromptSegments) - 1
	if last < 1 {
		return nil
	}
	model := xxhash.Sum64String(metadata.Model)
	traits := make([]acaciacrash.Trait, 0, last+1)
	known := make(map[acaciacrash.Trait]bool, last)
	for _, segment := range metadata.PromptSegments[:last] {
		trait := segmentTrait(model, segment.ID)
		if !known[trait] {
			known[trait] = true
			traits = append(traits, trait)
		}
	}
	return traits
}

// segmentTrait returns the trait of a segment of a prompt for a model, which is given by its hash.
func segmentTrait(model, segmentID uint64) acaciacrash.Trait {
	var text [16]byte
	binary.BigEndian.PutUint64(text[:8], model)
	binary.BigEndian.PutUint64(text[8:], segmentID)
	return acaciacrash.Trait(xxhash.Sum64(text[:]))
}

// writeText writes texts to a hash so that their boundaries count.
func writeText(hash *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
}

// crashKey identifies a run of an endpoint.
func crashKey(endpoint *acaciasite.Endpoint) uint64 {
	run := xxhash.New()
	writeText(run, endpoint.ID)
	_, _ = run.Write(binary.BigEndian.AppendUint64(nil, uint64(endpoint.StartedAt.UnixNano())))
	return run.Sum64()
}

// banError returns the error for a request that a ban refuses.
func (x *exchange) banError(ban *acaciacrash.Ban, now time.Time) error {
	what := "this content"
	if segments := x.bannedSegments(ban); len(segments) > maxNamedSegments {
		what = fmt.Sprintf("prompts with segment %s and %d more", strings.Join(segments[:maxNamedSegments], " and "), len(segments)-maxNamedSegments)
	} else if len(segments) > 0 {
		what = "prompts with segment " + strings.Join(segments, " and ")
	}
	return &acaciaroute.Error{
		Code:       acaciaroute.CodePoisonContent,
		Detail:     fmt.Sprintf("%d endpoints crashed while running %s", ban.Crashes, what),
		RetryAfter: max(ban.Until.Sub(now), shortRetryAfter),
	}
}

// bannedSegments returns the names of those segments of the prompt, but for the last, that a ban names.
func (x *exchange) bannedSegments(ban *acaciacrash.Ban) []string {
	var names []string
	model := xxhash.Sum64String(x.metadata.Model)
	for i, name := range x.segmentNames() {
		isLast := i == len(x.metadata.PromptSegments)-1
		_, banned := slices.BinarySearch(ban.Traits, segmentTrait(model, x.metadata.PromptSegments[i].ID))
		if banned && !isLast {
			names = append(names, name)
		}
	}
	return names
}

// beginCall registers the call that the request is about to make, so that a crash of the endpoint counts against the
// request, and the call can be cancelled when one of its traits is banned.
func (x *exchange) beginCall(cancel context.CancelCauseFunc) {
	x.answerStage, x.eventsBeforeCall = acaciacrash.StageBegun, x.eventCount
	g := x.gateway
	g.loop.Post(func() {
		g.runningCalls[x] = &runningCall{attempts: g.crashes.Attempts(x.traits), cancel: cancel}
	})
}

// endCall removes the request's call: it has ended. It must be called on the loop.
func (g *Gateway) endCall(x *exchange) {
	delete(g.runningCalls, x)
}

// recordProgress records that an endpoint has survived to bring the answer to the stage of a stream that has not ended.
func (x *exchange) recordProgress() {
	stage := acaciacrash.StageOf(x.eventCount - x.eventsBeforeCall)
	if stage > x.answerStage {
		x.answerStage = stage
		x.recordStage(stage)
	}
}

// recordStage records that the answer has reached a stage.
func (x *exchange) recordStage(stage acaciacrash.Stage) {
	g := x.gateway
	g.loop.Post(func() {
		if call := g.runningCalls[x]; call != nil {
			call.stage = stage
		}
		g.crashes.RecordAnswer(stage, x.traits, g.loop.Now())
	})
}

// checkEndpointCrash checks whether the endpoint refuses connections. If it does, it records
// that the endpoint crashed while it ran the request.
func (x *exchange) checkEndpointCrash(ctx context.Context) {
	if ctx.Err() != nil || !x.gateway.upstream.Refuses(ctx, x.endpoint.Address) {
		return
	}
	x.recordEndpointDead()
	event := x.newEvent(acaciaevent.EndpointDied)
	event.KeyHash = fmt.Sprintf("%016x", uint64(x.traits[len(x.traits)-1]))
	event.Inputs = x.eventInputs(nil)
	event.Inputs.PromptSegments = x.segmentNames()
	g := x.gateway
	g.recorder.Record(event)
	g.metrics.endpointCrashes.WithLabelValues(x.service).Inc()
	crash := crashKey(x.endpoint)
	g.loop.Post(func() {
		call := g.runningCalls[x]
		if call == nil {
			return
		}
		g.endCall(x)
		g.crashes.RecordCrash(crash, call.stage, x.traits, call.attempts, g.loop.Now())
		g.applyBans()
		// The others must know at once, because they may be sending the like.
		g.broadcast(false)
	})
}

// applyBans refuses the waiting requests whose traits are banned and cancels those calls whose
// endpoint might still be saved. It must be called on the loop.
func (g *Gateway) applyBans() {
	now := g.loop.Now()
	for request, waiter := range g.waiters {
		if ban := g.crashes.BanInForce(waiter.exchange.traits, now); ban != nil {
			delete(g.waiters, request)
			g.scheduler.Dequeue(request)
			waiter.results <- waitResult{err: waiter.exchange.banError(ban, now)}
		}
	}
	for x, call := range g.runningCalls {
		if call.stage == acaciacrash.StageBegun && g.crashes.BanInForce(x.traits, now) != nil {
			call.cancel(errBanned)
		}
	}
}
