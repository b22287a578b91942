package emulator

import (
	"testing"
	"testing/synctest"
	"time"
)

// testProfile has a prefill time of 1 ms per token and a warm-up period of 1 s.
var testProfile = RunnerProfile{
	Slots:          1,
	TokenTime:      time.Millisecond,
	AnswerTime:     time.Millisecond,
	CacheTokens:    1000,
	WarmUpTime:     time.Second,
	WarmUpSlowdown: 4,
}

func TestEngineReadsPromptsByCacheAndWarmth(t *testing.T) {
	cachedPrompt := prompt{parts: []string{"system"}, partTokens: []int{400}, tokens: 500}
	other := prompt{parts: []string{"other"}, partTokens: []int{400}, tokens: 500}
	for name, test := range map[string]struct {
		age       time.Duration
		slowdown  int64
		before    []prompt
		takes     time.Duration
		cached    int64
		requested int64
	}{
		"warm":                    {time.Hour, 0, nil, 500 * time.Millisecond, 0, 500},
		"warming up":              {0, 0, nil, 2 * time.Second, 0, 500},
		"cached":                  {time.Hour, 0, []prompt{cachedPrompt}, 100 * time.Millisecond, 400, 1000},
		"another one cached":      {time.Hour, 0, []prompt{other}, 500 * time.Millisecond, 0, 1000},
		"slow":                    {time.Hour, 10, nil, 5 * time.Second, 0, 500},
		"slow while it warms up":  {0, 10, nil, 20 * time.Second, 0, 500},
		"slow with it cached too": {time.Hour, 10, []prompt{cachedPrompt}, time.Second, 400, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			var took time.Duration
			var cached, requested int64
			synctest.Test(t, func(*testing.T) {
				faults := &Faults{}
				faults.Slowdown.Store(test.slowdown)
				engine := newEngine(testProfile, faults, time.Now().Add(-test.age), nil)
				took = readingTime(engine, append(test.before, cachedPrompt))
				cached, requested = engine.cachedTokens.Load(), engine.promptTokens.Load()
			})
			if took != test.takes || cached != test.cached || requested != test.requested {
				t.Errorf("took %v, %d of %d tokens cached, want %v, %d of %d", took, cached, requested, test.takes,
					test.cached, test.requested)
			}
		})
	}
}

// readingTime lets an engine prefill prompts in turn and returns the duration of the last prefill, or 0 if a prefill
// was not completed.
func readingTime(engine *engine, prompts []prompt) (took time.Duration) {
	for _, prompt := range prompts {
		begin := time.Now()
		if !engine.readPrompt(prompt, nil) {
			return 0
		}
		took = time.Since(begin)
	}
	return took
}

func TestEngineStopsWorkWithRunnerOrConnection(t *testing.T) {
	for name, end := range map[string]func(stopped, disconnected chan struct{}){
		"runner":     func(stopped, _ chan struct{}) { close(stopped) },
		"connection": func(_, disconnected chan struct{}) { close(disconnected) },
	} {
		t.Run(name, func(t *testing.T) {
			var worked, acquired bool
			var took time.Duration
			synctest.Test(t, func(*testing.T) {
				stopped, disconnected := make(chan struct{}), make(chan struct{})
				engine := newEngine(testProfile, &Faults{}, time.Now(), stopped)
				engine.acquireSlot(disconnected)
				time.AfterFunc(time.Second, func() { end(stopped, disconnected) })
				begin := time.Now()
				worked = engine.work(time.Hour, disconnected)
				acquired = engine.acquireSlot(disconnected)
				took = time.Since(begin)
			})
			if worked || acquired || took != time.Second {
				t.Errorf("after %v: an hour's work completed %v, a second request got the only slot %v", took, worked, acquired)
			}
		})
	}
}

func TestEngineGrantsASlotThatWasReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(testProfile, &Faults{}, time.Now(), nil)
		engine.acquireSlot(nil)
		time.AfterFunc(time.Second, engine.releaseSlot)
		begin := time.Now()
		if !engine.acquireSlot(nil) || time.Since(begin) != time.Second {
			t.Errorf("slot acquired or refused after %v, want acquired after 1s", time.Since(begin))
		}
	})
}
