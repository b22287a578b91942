package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// engine is what executes a runner's requests: a number of them at once, one prefill at a time.
type engine struct {
	profile RunnerProfile
	faults  *Faults
	started time.Time
	// stopped is closed when the runner ends.
	stopped <-chan struct{}
	// slots has an element for each request that runs.
	slots chan struct{}
	// prefill is held while a prompt is read; it protects the cache.
	prefill sync.Mutex
	cache   *Cache[string]
	// cachedTokens and promptTokens count tokens found in the cache and tokens asked for.
	cachedTokens, promptTokens atomic.Int64
}

func newEngine(profile RunnerProfile, faults *Faults, started time.Time, stopped <-chan struct{}) *engine {
	return &engine{
		profile: profile,
		faults:  faults,
		started: started,
		stopped: stopped,
		slots:   make(chan struct{}, profile.Slots),
		cache:   NewCache[string](profile.CacheTokens),
	}
}

// acquireSlot waits for a slot; it reports whether the request has one, which it must release. It has none when the
// runner stops or the request's connection ends before.
func (engine *engine) acquireSlot(disconnected <-chan struct{}) bool {
	select {
	case engine.slots <- struct{}{}:
		return true
	case <-engine.stopped:
		return false
	case <-disconnected:
		return false
	}
}

func (engine *engine) releaseSlot() { <-engine.slots }

// readPrompt lets the time of a prefill pass, which what is cached of the prompt shortens, and caches the prompt. It
// reports whether it was read to its end.
func (engine *engine) readPrompt(prompt prompt, disconnected <-chan struct{}) bool {
	engine.prefill.Lock()
	defer engine.prefill.Unlock()
	cached := engine.cache.Use(Chained(prompt.parts), prompt.partTokens)
	engine.cachedTokens.Add(int64(cached))
	engine.promptTokens.Add(int64(prompt.tokens))
	length := time.Duration(prompt.tokens-cached) * engine.profile.TokenTime
	if engine.profile.isWarmingUp(time.Since(engine.started)) {
		length *= time.Duration(engine.profile.ColdFactor)
	}
	return engine.work(length, disconnected)
}

// work lets time pass; it reports whether all of it did. It returns early when the runner stops or the request's
// connection ends.
func (engine *engine) work(length time.Duration, disconnected <-chan struct{}) bool {
	timer := time.NewTimer(engine.faults.slowed(length))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-engine.stopped:
		return false
	case <-disconnected:
		return false
	}
}
