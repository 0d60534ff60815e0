package acaciastandin

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// EngineSettings describe one engine's speed and memory.
	EngineSettings struct {
		// StepBase is the time of a step that does nothing.
		StepBase time.Duration
		// StepSequence is added for each request that gets a token.
		StepSequence time.Duration
		// StepPrefill is added for each prompt token that is prefilled.
		StepPrefill time.Duration
		// ChunkTokens bounds the prompt tokens of one step.
		ChunkTokens int
		// CacheTokens is the size of the prefix cache.
		CacheTokens int
		// MaxSequences bounds the requests that the engine's memory holds; the
		// others wait in the order of arrival.
		MaxSequences int
	}

	// EngineCore is an engine that batches continuously and knows no priorities.
	// Its methods run on the loop.
	EngineCore struct {
		loop      acaciaroute.Loop
		settings  EngineSettings
		cache     *acaciaprefix.Cache
		waiting   []*Sequence
		running   []*Sequence
		stepping  bool
		slowdown  float64
		epoch     int
		Prefilled int
	}

	// Sequence is a request in an engine.
	Sequence struct {
		Prefixes     []uint64
		PromptTokens int
		OutputTokens int
		// OnToken is called for each token; last marks the end.
		OnToken func(last bool)
		// OnCrash is called when the engine dies.
		OnCrash func()
		// Cached is how much of the prompt was found in the cache.
		Cached int

		left      int
		produced  int
		cancelled bool
	}
)

// Generations are the engines of three hardware generations, the newest first.
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

// OnEvict registers a function that gets each prefix that leaves the cache.
func (e *EngineCore) OnEvict(f func(prefix uint64)) {
	e.cache.OnDrop(f)
}

// Cached returns how many leading tokens of a prompt are in the cache.
func (e *EngineCore) Cached(prefixes []uint64) int {
	return e.cache.Cached(prefixes)
}

// Submit admits a sequence.
func (e *EngineCore) Submit(s *Sequence) {
	e.waiting = append(e.waiting, s)
	e.step()
}

// Cancel ends a sequence's work.
func (e *EngineCore) Cancel(s *Sequence) {
	s.cancelled = true
}

// Prefilled returns how many prompt tokens were computed so far.
func (s *Sequence) Prefilled() int {
	return s.PromptTokens - s.Cached - s.left
}

// SetSlowdown makes every later step slower by a factor.
func (e *EngineCore) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Crash loses all work and the cache.
func (e *EngineCore) Crash() {
	lost := append(e.running, e.waiting...)
	e.running = nil
	e.waiting = nil
	e.stepping = false
	e.epoch++
	e.cache.Clear()
	for _, s := range lost {
		if !s.cancelled && s.OnCrash != nil {
			s.OnCrash()
		}
	}
}

// Load returns how many sequences run and wait.
func (e *EngineCore) Load() acaciaroute.LoadReport {
	return acaciaroute.LoadReport{Running: len(e.running), Waiting: len(e.waiting)}
}

// step begins one step unless one is under way.
func (e *EngineCore) step() {
	if e.stepping {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	chunk := e.prefillChunk()
	decoding := 0
	for _, s := range e.running {
		if s.left == 0 {
			decoding++
		}
	}
	duration := e.settings.StepBase +
		time.Duration(decoding)*e.settings.StepSequence +
		time.Duration(chunk)*e.settings.StepPrefill
	epoch := e.epoch
	e.loop.After(time.Duration(float64(duration)*e.slowdown), func() {
		if epoch == e.epoch {
			e.finishStep()
		}
	})
}

func (e *EngineCore) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxSequences {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.cancelled {
			continue
		}
		s.Cached = min(e.cache.Cached(s.Prefixes), s.PromptTokens-1)
		s.left = s.PromptTokens - s.Cached
		e.running = append(e.running, s)
	}
}

// prefillChunk takes the next prompt tokens in the order of arrival.
func (e *EngineCore) prefillChunk() int {
	budget := e.settings.ChunkTokens
	for _, s := range e.running {
		if s.left == 0 || s.cancelled || budget == 0 {
			continue
		}
		tokens := min(s.left, budget)
		s.left -= tokens
		budget -= tokens
		if s.left == 0 {
			e.cache.Add(s.Prefixes)
		}
	}
	chunk := e.settings.ChunkTokens - budget
	e.Prefilled += chunk
	return chunk
}

func (e *EngineCore) finishStep() {
	running := e.running
	e.running = nil
	for _, s := range running {
		if s.cancelled {
			continue
		}
		if s.left > 0 {
			e.running = append(e.running, s)
			continue
		}
		s.produced++
		last := s.produced >= s.OutputTokens
		if !last {
			e.running = append(e.running, s)
		}
		s.OnToken(last)
	}
	e.stepping = false
	e.step()
}
