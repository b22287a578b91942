package simulation

import (
	"time"

	"wardtray/balancer/load"
	"wardtray/verify/emulator"
)

// engine is the runner of one host, as it is in one life: its load, its prefix cache, and the time that its work takes.
type engine struct {
	misbehavior

	world *World
	host  *Host
	// id, service and weights are what it says it is.
	id      string
	service string
	weights string
	profile emulator.RunnerProfile
	started time.Time
	// active counts the requests that it has taken and not ended, runs those that it has ever begun.
	active int
	runs   int
	slots  *engineSlots
	// prefillFree is when the prompts are read that it has so far.
	prefillFree time.Time
	cache       *emulator.Cache[string]
	// reports are its loads of late, the oldest first; it tells the oldest.
	reports []load.Report
}

// newEngine begins a life of a runner.
func newEngine(host *Host, id, service, weights string) *engine {
	profile := emulator.DefaultProfile
	return &engine{
		world:   host.world,
		host:    host,
		id:      id,
		service: service,
		weights: weights,
		profile: profile,
		started: host.world.Now,
		slots:   &engineSlots{coroutines: host.world.coroutines, limit: profile.Slots},
		cache:   emulator.NewCache[string](profile.CacheTokens),
	}
}

// observe notes the present load; the last of the notes that are kept is the newest.
func (engine *engine) observe() {
	running := min(engine.active, engine.profile.Slots)
	engine.reports = append(engine.reports,
		load.Report{Running: running, Waiting: engine.active - running, Slots: engine.profile.Slots})
	if keep := int(engine.profile.ReportAge / (reportInterval)); len(engine.reports) > keep+1 {
		engine.reports = engine.reports[len(engine.reports)-keep-1:]
	}
}

// warmingUp reports whether the runner is cold yet.
func (engine *engine) warmingUp() bool {
	return engine.world.Now.Sub(engine.started) < engine.profile.ColdTime
}

// capacity is how much the runner can truly do at once now.
func (engine *engine) capacity() int {
	if engine.warmingUp() {
		return max(1, engine.profile.Slots/engine.profile.ColdFactor)
	}
	return engine.profile.Slots
}

// work lets a length of time pass; it reports whether the request's connection stood so long. A runner drops a request
// whose connection ends.
func (engine *engine) work(connection *conn, length time.Duration) bool {
	world, coroutine := engine.world, engine.world.coroutines.current
	until := world.Now.Add(length)
	world.At(until, func() { world.coroutines.wake(coroutine) })
	for world.Now.Before(until) && connection.err == nil {
		coroutine.park()
	}
	return connection.err == nil
}

// prefill takes one prompt after the other; it reports whether the request's connection stood so long.
func (engine *engine) prefill(connection *conn, tokens int) bool {
	length := engine.slowed(time.Duration(tokens) * engine.profile.TokenTime)
	if engine.warmingUp() {
		length *= time.Duration(engine.profile.ColdFactor)
	}
	begin := engine.world.Now
	if engine.prefillFree.After(begin) {
		begin = engine.prefillFree
	}
	engine.prefillFree = begin.Add(length)
	return engine.work(connection, engine.prefillFree.Sub(engine.world.Now))
}
