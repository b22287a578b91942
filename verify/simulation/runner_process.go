package simulation

import (
	"fmt"
	"time"

	"wardtray/verify/emulator"
	"wardtray/wire"
)

// reportInterval is the interval at which a runner samples its load.
const reportInterval = 100 * time.Millisecond

// runnerProcess is the runner of one host. It exchanges no messages with the daemons: they connect to it.
type runnerProcess struct {
	host *Host
	// engine belongs to the last process, which may have ended.
	engine *engine
	// otherService, if set, makes the next process a runner of that service, which the platform does not list.
	otherService string
}

// boot starts a runner with a new identity and an empty cache.
func (runner *runnerProcess) boot() {
	host, world := runner.host, runner.host.world
	world.identities++
	traffic := world.Traffic
	service := traffic.Mix.Service
	if runner.otherService != "" {
		service = runner.otherService
	}
	id := fmt.Sprintf("%s-%d", host.Address, world.identities)
	runner.engine = newEngine(host, id, service, traffic.weights)
	host.startRepeating(host.incarnation, reportInterval, runner.engine.observe)
	if runner.otherService == "" {
		runner.list()
	}
}

// list lists the present process on the platform, as cold until it is warm.
func (runner *runnerProcess) list() {
	host, world := runner.host, runner.host.world
	world.Platform.set(host, "cold")
	incarnation := host.incarnation
	world.After(emulator.DefaultProfile.WarmUpTime, func() { world.Platform.relist(host, incarnation) })
}

// afterStep does nothing: a runner's coroutines wake each other.
func (runner *runnerProcess) afterStep() {}

// receive does nothing: nobody sends messages to a runner.
func (runner *runnerProcess) receive(*wire.Envelope) {}

// connectionRefused does nothing: a runner sends no messages.
func (runner *runnerProcess) connectionRefused(string, time.Time) {}

// end does nothing: the platform detects the end by itself.
func (runner *runnerProcess) end() {}
