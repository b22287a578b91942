package simulation

import (
	"time"

	"wardtray/balancer/load"
	"wardtray/verify/emulator"
)

// engine is one incarnation of a runner: its load, its prefix cache, and the time that its work takes.
type engine struct {
	faultyBehavior

	world *World
	host  *Host
	// id, service and weights are the identity that it reports.
	id      string
	service string
	weights string
	profile emulator.RunnerProfile
	started time.Time
	// active counts the requests that it has accepted and not ended, runs those that it has ever started.
	active int
	runs   int
	slots  *engineSlots
	// prefillFree is the time at which it will have read all prompts that it has accepted so far.
	prefillFree time.Time
	cache       *emulator.Cache[string]
	// reports are its recent load samples, the oldest first; it reports the oldest, profile.ReportAge late.
	reports []load.Report
}

// newEngine starts an incarnation of a runner.
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

// observe samples the current load and drops samples older than profile.ReportAge.
func (engine *engine) observe() {
	running := min(engine.active, engine.profile.Slots)
	engine.reports = append(engine.reports,
		load.Report{Running: running, Waiting: engine.active - running, Slots: engine.profile.Slots})
	if keep := int(engine.profile.ReportAge / (reportInterval)); len(engine.reports) > keep+1 {
		engine.reports = engine.reports[len(engine.reports)-keep-1:]
	}
}

// warmingUp reports whether the runner is still cold.
func (engine *engine) warmingUp() bool {
	return engine.world.Now.Sub(engine.started) < engine.profile.WarmUpTime
}

// capacity returns the number of requests that the runner can serve at once now.
func (engine *engine) capacity() int {
	if engine.warmingUp() {
		return max(1, engine.profile.Slots/engine.profile.WarmUpSlowdown)
	}
	return engine.profile.Slots
}

// work lets simulated time pass and reports whether the request's connection stayed open. A runner drops a request
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

// prefill reads one prompt after the other, and reports whether the request's connection stayed open.
func (engine *engine) prefill(connection *conn, tokens int) bool {
	length := engine.slowed(time.Duration(tokens) * engine.profile.TokenTime)
	if engine.warmingUp() {
		length *= time.Duration(engine.profile.WarmUpSlowdown)
	}
	begin := engine.world.Now
	if engine.prefillFree.After(begin) {
		begin = engine.prefillFree
	}
	engine.prefillFree = begin.Add(length)
	return engine.work(connection, engine.prefillFree.Sub(engine.world.Now))
}
