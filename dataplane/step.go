package dataplane

import (
	"slices"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/config"
	"wardtray/dataplane/controller"
	"wardtray/wire"
)

// Step runs one step of the controller under its lock, publishes the resulting snapshot to the request path, sends the
// controller's messages and starts a poll if the controller requests one.
func (plane *Plane) Step(do func(now time.Time, machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	now := plane.environment.Now()
	do(now, plane.controller)
	plane.send(plane.controller.Ready())
	snapshot := plane.controller.Snapshot(now)
	previous := plane.snapshot.Swap(&snapshot)
	plane.applySnapshot(now, snapshot)
	if snapshot.ExpiresAt.After(previous.ExpiresAt) {
		close(*plane.replaceRenewed())
	}
	if plane.controller.TakePollRequest() {
		plane.poll()
	}
}

// replaceRenewed replaces the channel on which requests wait for a snapshot that is valid for longer, and returns the
// previous one.
func (plane *Plane) replaceRenewed() *chan struct{} {
	next := make(chan struct{})
	return plane.renewed.Swap(&next)
}

// OnPolled handles the platform's response to a poll; read is false if no response was read.
func (plane *Plane) OnPolled(content []byte, read bool) {
	var runners []*wire.Runner
	failed := !read
	if read {
		var err error
		runners, err = parseList(content)
		failed = err != nil // The previous list stays in use until a poll succeeds.
	}
	plane.Step(func(now time.Time, machine *controller.Controller) { machine.OnPolled(now, runners, failed) })
}

// applySnapshot applies a new snapshot to the rest of the plane and logs changes of state. The caller holds the mutex.
func (plane *Plane) applySnapshot(now time.Time, snapshot config.Snapshot) {
	plane.applyRunnerList(now, snapshot)
	if snapshot.SpecEpoch != plane.specEpoch {
		plane.specEpoch = snapshot.SpecEpoch
		plane.log.Info("new configuration in use", "epoch", plane.specEpoch)
	}
	if serving := now.Before(snapshot.ExpiresAt); serving != plane.serving {
		plane.serving = serving
		plane.log.Info("permission to dispatch requests changed; none are dispatched while serving is false",
			"serving", serving)
	}
	plane.publishDaemons()
}

// applyRunnerList updates the load table, and removes runners that are no longer listed from the index and the
// connection pool. An empty list of the platform changes nothing.
func (plane *Plane) applyRunnerList(now time.Time, snapshot config.Snapshot) {
	listed := len(snapshot.Runners) > 0 || snapshot.Registered
	if !listed || sameList(snapshot.Runners, plane.runners) {
		return
	}
	plane.runners = snapshot.Runners
	for _, removed := range plane.Handler.Loads.UpdateListing(now, snapshot.Runners) {
		plane.Handler.Indexer.Pool.Add(kvblock.RunnerRemoved{Runner: removed})
		plane.Handler.Connections.Remove(removed)
	}
}

// publishDaemons publishes the daemons of the configuration document, or only this daemon until there is a document.
func (plane *Plane) publishDaemons() {
	directory := plane.controller.Directory()
	daemons := make([]string, 0, max(1, len(directory)))
	for _, member := range directory {
		daemons = append(daemons, member.Address)
	}
	if len(daemons) == 0 {
		daemons = append(daemons, plane.address)
	}
	if !slices.Equal(daemons, *plane.daemons.Load()) {
		plane.daemons.Store(&daemons)
	}
}

// sameList reports whether two slices share their first element. The controller replaces a changed list by a new slice,
// so that the elements need not be compared.
func sameList(left, right []*wire.Runner) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}

// Snapshot returns the state by which requests are handled now.
func (plane *Plane) Snapshot() *config.Snapshot { return plane.snapshot.Load() }

// Daemons returns the addresses of the daemons in the directory. A lost daemon stays in it for a minute.
func (plane *Plane) Daemons() []string { return *plane.daemons.Load() }

// WithController calls a function with the controller while holding its lock.
func (plane *Plane) WithController(do func(machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.controller)
}
