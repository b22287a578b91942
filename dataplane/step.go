package dataplane

import (
	"slices"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/config"
	"wardtray/dataplane/controller"
	"wardtray/wire"
)

// Step runs one step of the controller under its lock, then publishes the new state to the request path and carries out
// what the controller asks for.
func (plane *Plane) Step(do func(now time.Time, machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	now := plane.environment.Now()
	do(now, plane.controller)
	plane.send(plane.controller.Ready())
	snapshot := plane.controller.Snapshot(now)
	previous := plane.snapshot.Swap(&snapshot)
	plane.follow(now, snapshot)
	if snapshot.Until.After(previous.Until) {
		close(*plane.renew())
	}
	if plane.controller.TakePollRequest() {
		plane.poll()
	}
}

// renew replaces the channel by which requests wait for the next renewal, and returns the previous one.
func (plane *Plane) renew() *chan struct{} {
	next := make(chan struct{})
	return plane.renewed.Swap(&next)
}

// OnPolled handles the platform's response to a poll; read is false if there was none.
func (plane *Plane) OnPolled(content []byte, read bool) {
	var runners []*wire.Runner
	failed := !read
	if read {
		var err error
		runners, err = parseList(content)
		failed = err != nil // The previous list stays; the next poll may return a better one.
	}
	plane.Step(func(now time.Time, machine *controller.Controller) { machine.OnPolled(now, runners, failed) })
}

// follow applies a new snapshot to the rest of the plane and logs changes of state. The caller holds the mutex.
func (plane *Plane) follow(now time.Time, snapshot config.Snapshot) {
	plane.followRunners(now, snapshot)
	if snapshot.SpecEpoch != plane.epoch {
		plane.epoch = snapshot.SpecEpoch
		plane.log.Info("new spec", "epoch", plane.epoch)
	}
	if serving := now.Before(snapshot.Until); serving != plane.serving {
		plane.serving = serving
		plane.log.Info("permission to serve changed", "serving", serving)
	}
	plane.followDirectory()
}

// followRunners removes runners that are no longer listed. An empty list of the platform changes nothing.
func (plane *Plane) followRunners(now time.Time, snapshot config.Snapshot) {
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

// followDirectory publishes the daemons of the configuration document; until there is one, this daemon alone.
func (plane *Plane) followDirectory() {
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

// sameList reports whether two lists are the very same one: the controller replaces a list that has changed.
func sameList(left, right []*wire.Runner) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}

// Snapshot returns the state that requests are handled by at this moment.
func (plane *Plane) Snapshot() *config.Snapshot { return plane.snapshot.Load() }

// Daemons returns the addresses of the daemons in the directory, in which a lost one stays for a minute.
func (plane *Plane) Daemons() []string { return *plane.daemons.Load() }

// WithController calls a function with the controller, under its lock.
func (plane *Plane) WithController(do func(machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.controller)
}
