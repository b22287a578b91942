package simulation

import (
	"time"

	"wardtray/verify/histories"
)

const (
	// warmUpAllowance is the time from a runner's first listing as ready until its full capacity counts. Daemons don't
	// learn earlier that the runner is warm, and raise its load step by step.
	warmUpAllowance = 6 * time.Second
	// capacityInterval is the interval between two samples of the backend's capacity.
	capacityInterval = 100 * time.Millisecond
)

// capacitySampler records the true capacity of the backend in the history. The history's checker uses it to decide
// whether a refusal was justified.
type capacitySampler struct {
	world   *World
	history *histories.History
	// readySince maps each runner's id to the time when it was first seen listed as ready.
	readySince map[string]time.Time
}

func newCapacitySampler(world *World, history *histories.History) *capacitySampler {
	return &capacitySampler{world: world, history: history, readySince: map[string]time.Time{}}
}

// sample records the capacity and schedules the next sample.
func (sampler *capacitySampler) sample() {
	sampler.record()
	sampler.world.After(capacityInterval, sampler.sample)
}

// record appends the current capacity of each zone to the history. Only reachable, healthy runners that are warm and
// listed as ready count.
func (sampler *capacitySampler) record() {
	world := sampler.world
	listed := sampler.warmListed()
	sample := histories.CapacitySample{At: world.Now, Free: map[string]int{}, Slots: map[string]int{}}
	for _, host := range world.Runners() {
		engine := host.runner.engine
		healthy := host.up && !host.frozen && engine.servesRequests()
		if healthy && listed[engine.id] && !engine.warmingUp() && sampler.isReachable(host) {
			sample.Free[host.Zone] += max(0, engine.profile.Slots-engine.active)
			sample.Slots[host.Zone] += engine.profile.Slots
		}
	}
	sampler.history.CapacitySamples = append(sampler.history.CapacitySamples, sample)
}

// warmListed reports by id which runners have been listed as ready for warmUpAllowance.
func (sampler *capacitySampler) warmListed() map[string]bool {
	world := sampler.world
	listed := map[string]bool{}
	for _, runner := range world.Platform.listed {
		if runner.State != "ready" {
			continue
		}
		if sampler.readySince[runner.RunnerId].IsZero() {
			sampler.readySince[runner.RunnerId] = world.Now
		}
		listed[runner.RunnerId] = world.Now.Sub(sampler.readySince[runner.RunnerId]) >= warmUpAllowance
	}
	return listed
}

// isReachable reports whether a majority of the daemons has a path both ways to a runner.
func (sampler *capacitySampler) isReachable(runner *Host) bool {
	reached, all := 0, 0
	for _, host := range sampler.world.Daemons() {
		all++
		if sampler.world.topology.passes(host, runner) && sampler.world.topology.passes(runner, host) {
			reached++
		}
	}
	return reached*2 > all
}
