package acaciastandin

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// EngineSettings describe the speed and the memory of an engine.
	EngineSettings struct {
		// StepBase is the fixed time of each step.
		StepBase time.Duration
		// StepPerSequence is added for each sequence that gets a token in the step.
		StepPerSequence time.Duration
		// StepPerPrefillToken is added for each prompt token prefilled in the step.
		StepPerPrefillToken time.Duration
		// PrefillChunkTokens limits the prompt tokens prefilled in one step.
		PrefillChunkTokens int
		// CacheTokens is the size of the prefix cache in tokens.
		CacheTokens int
		// MaxSequences limits the sequences that run at the same time, because the
		// engine's memory holds no more; the others wait in order of arrival.
		MaxSequences int
	}

	// EngineCore simulates an engine with continuous batching, chunked prefill and a
	// prefix cache, but without priorities. Its methods must be called on the loop.
	EngineCore struct {
		loop       acaciaroute.Loop
		settings   EngineSettings
		cache      *acaciaprefix.Cache
		waiting    []*Sequence
		running    []*Sequence
		stepping   bool
		slowdown   float64
		crashCount int
		// PrefilledTokens is the number of prompt tokens computed since the start.
		PrefilledTokens int
	}

	// Sequence is a request that runs in an engine.
	Sequence struct {
		Prefixes     []uint64
		PromptTokens int
		OutputTokens int
		// OnToken is called for each output token; last is true for the final one.
		OnToken func(last bool)
		// OnCrash is called when the engine crashes before the sequence ends.
		OnCrash func()
		// CachedTokens is the number of prompt tokens found in the cache at admission.
		CachedTokens int

		// remainingPrompt is the number of prompt tokens not yet prefilled.
		remainingPrompt int
		producedTokens  int
		cancelled       bool
	}
)

// Generations are the settings of engines of three hardware generations, newest first.
var Generations = []EngineSettings{
	{4 * time.Millisecond, 300 * time.Microsecond, 40 * time.Microsecond, 512, 300_000, 256},
	{7 * time.Millisecond, 500 * time.Microsecond, 80 * time.Microsecond, 384, 200_000, 192},
	{12 * time.Millisecond, 900 * time.Microsecond, 160 * time.Microsecond, 256, 100_000, 128},
}

// NewEngineCore returns an idle engine.
func NewEngineCore(loop acaciaroute.Loop, settings EngineSettings) *EngineCore {
	return &EngineCore{
		loop:     loop,
		settings: settings,
		cache:    acaciaprefix.NewCache(settings.CacheTokens),
		slowdown: 1,
	}
}

// OnEvict registers a function that is called with each prefix evicted from the cache.
func (e *EngineCore) OnEvict(f func(prefix uint64)) {
	e.cache.OnEvict(f)
}

// CachedTokens returns the number of leading tokens of a prompt that are in the cache.
func (e *EngineCore) CachedTokens(prefixes []uint64) int {
	return e.cache.Cached(acaciaprefix.BlockSegments(prefixes))
}

// Submit adds a sequence to the end of the waiting queue.
func (e *EngineCore) Submit(s *Sequence) {
	e.waiting = append(e.waiting, s)
	e.startStep()
}

// Cancel marks a sequence as cancelled. The engine drops it when the present step ends,
// or instead of admitting it.
func (e *EngineCore) Cancel(s *Sequence) {
	s.cancelled = true
}

// PrefilledTokens returns the number of prompt tokens computed so far, without those
// found in the cache.
func (s *Sequence) PrefilledTokens() int {
	return s.PromptTokens - s.CachedTokens - s.remainingPrompt
}

// SetSlowdown multiplies the duration of all later steps by factor.
func (e *EngineCore) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Crash drops all running and waiting sequences and clears the cache.
func (e *EngineCore) Crash() {
	lost := append(e.running, e.waiting...)
	e.running = nil
	e.waiting = nil
	e.stepping = false
	e.crashCount++
	e.cache.Clear()
	for _, s := range lost {
		if !s.cancelled && s.OnCrash != nil {
			s.OnCrash()
		}
	}
}

// Load returns the number of running and of waiting sequences.
func (e *EngineCore) Load() acaciaroute.LoadReport {
	return acaciaroute.LoadReport{Running: len(e.running), Waiting: len(e.waiting)}
}

// startStep starts the next step unless one is in progress. A step that was started
// before a crash has no effect when its time is up.
func (e *EngineCore) startStep() {
	if e.stepping {
		return
	}
	e.admitWaiting()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	chunk := e.prefillNextChunk()
	decoding := 0
	for _, s := range e.running {
		if s.remainingPrompt == 0 {
			decoding++
		}
	}
	duration := e.settings.StepBase +
		time.Duration(decoding)*e.settings.StepPerSequence +
		time.Duration(chunk)*e.settings.StepPerPrefillToken
	crashCount := e.crashCount
	e.loop.After(time.Duration(float64(duration)*e.slowdown), func() {
		if crashCount == e.crashCount {
			e.finishStep()
		}
	})
}

// admitWaiting moves waiting sequences to the running ones up to MaxSequences.
func (e *EngineCore) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxSequences {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.cancelled {
			continue
		}
		s.CachedTokens = min(e.cache.Cached(acaciaprefix.BlockSegments(s.Prefixes)), s.PromptTokens-1)
		s.remainingPrompt = s.PromptTokens - s.CachedTokens
		e.running = append(e.running, s)
	}
}

// prefillNextChunk prefills up to PrefillChunkTokens prompt tokens in order of arrival
// and returns their number.
func (e *EngineCore) prefillNextChunk() int {
	budget := e.settings.PrefillChunkTokens
	for _, s := range e.running {
		if s.remainingPrompt == 0 || s.cancelled || budget == 0 {
			continue
		}
		tokens := min(s.remainingPrompt, budget)
		s.remainingPrompt -= tokens
		budget -= tokens
		if s.remainingPrompt == 0 {
			e.cache.Add(acaciaprefix.BlockSegments(s.Prefixes))
		}
	}
	chunk := e.settings.PrefillChunkTokens - budget
	e.PrefilledTokens += chunk
	return chunk
}

// finishStep emits one token for each prefilled sequence and starts the next step.
func (e *EngineCore) finishStep() {
	running := e.running
	e.running = nil
	for _, s := range running {
		if s.cancelled {
			continue
		}
		if s.remainingPrompt > 0 {
			e.running = append(e.running, s)
			continue
		}
		s.producedTokens++
		last := s.producedTokens >= s.OutputTokens
		if !last {
			e.running = append(e.running, s)
		}
		s.OnToken(last)
	}
	e.stepping = false
	e.startStep()
}
