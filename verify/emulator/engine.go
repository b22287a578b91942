package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// engine executes a runner's requests: several of them concurrently, but one prefill at a time.
type engine struct {
	profile RunnerProfile
	faults  *Faults
	started time.Time
	// stopped is closed when the runner ends.
	stopped <-chan struct{}
	// slots holds an element for each running request.
	slots chan struct{}
	// prefill is held during a prefill; it protects the cache.
	prefill sync.Mutex
	cache   *Cache[string]
	// cachedTokens counts the prompt tokens that were in the cache, promptTokens all prompt tokens.
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

// acquireSlot waits for a slot and reports whether it acquired one, which the caller must release. It returns false if
// the runner stops or the request's connection ends first.
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

// readPrompt caches a prompt and waits for the duration of its prefill, which is proportional to the number of tokens
// that were not cached. It reports whether the prefill was completed.
func (engine *engine) readPrompt(prompt prompt, disconnected <-chan struct{}) bool {
	engine.prefill.Lock()
	defer engine.prefill.Unlock()
	cached := engine.cache.Use(ChainedKeys(prompt.parts), prompt.partTokens)
	engine.cachedTokens.Add(int64(cached))
	engine.promptTokens.Add(int64(prompt.tokens))
	length := time.Duration(prompt.tokens-cached) * engine.profile.TokenTime
	if engine.profile.isWarmingUp(time.Since(engine.started)) {
		length *= time.Duration(engine.profile.WarmUpSlowdown)
	}
	return engine.work(length, disconnected)
}

// work waits for the duration of a piece of work, which Faults.Slowdown multiplies, and reports whether it was
// completed. It returns early if the runner stops or the request's connection ends.
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
