package simulation

import (
	"time"

	"wardtray/control/node"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
)

// Host is one simulated machine's process: a core, a data daemon or a runner.
type Host struct {
	world      *World
	Address    string
	Zone       string
	Core       bool
	node       *node.Node
	controller *controller.Controller
	plane      *dataplane.Plane
	engine     *engine
	// coroutines are the pieces of work of this life that have begun and not ended.
	coroutines []*coroutine
	conns      []*conn
	clients    []*client
	// poweredOff means that the machine is gone without a word: nothing answers, not even its system.
	poweredOff  bool
	service     string
	disk        *disk
	store       *snapshot.Store
	writes      []statemachine.Write
	writing     bool
	up          bool
	incarnation int
	frozen      bool
	backlog     []func()
	// wokenAt is when the process last woke from a freeze.
	wokenAt   time.Time
	stalled   bool
	diskDelay time.Duration
	drift     float64
	seeds     []string
	// removed means that the machine was taken away for good.
	removed bool
	// everStarted means that the machine came after the fleet's first start.
	everStarted bool
	// processingDelay is how much later than others it deals with what comes.
	processingDelay time.Duration
	// Sent is how many bytes of messages it has sent.
	Sent uint64
	// The greatest epoch under which this address awarded work.
	servedEpoch uint64
	isolation   isolation
	// resetAt is when the machine's connections were last reset: what was on its way then is lost.
	resetAt time.Time
	// leasedUntil is up to when a data daemon was last seen to be sure of its spec, by its own clock; leasedSince is
	// since when it has been so without a break.
	leasedUntil, leasedSince time.Time
}

// Up reports whether the host runs.
func (host *Host) Up() bool { return host.up }

// Node returns the state machine of a core.
func (host *Host) Node() *node.Node { return host.node }

// Data returns the controller of a data daemon.
func (host *Host) Data() *controller.Controller { return host.controller }

// local returns a host's own clock.
func (host *Host) local() time.Time {
	world := host.world
	passed := world.Now.Sub(world.started)
	return world.started.Add(passed + time.Duration(float64(passed)*host.drift))
}
