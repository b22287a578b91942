package simulation

import (
	"time"

	"wardtray/verify/histories"
)

const (
	// warmUpAllowance is how long after it is listed as ready a runner is used in full: daemons can't know sooner that it
	// is warm, and take it up step by step.
	warmUpAllowance = 6 * time.Second
	// capacityInterval is how often the backend's room is noted.
	capacityInterval = 100 * time.Millisecond
)

// capacitySampler notes in the history how much room the backend truly has, by which refusals are judged.
type capacitySampler struct {
	world   *World
	history *histories.History
	// readySince is when each runner, by its id, was first seen listed as ready.
	readySince map[string]time.Time
}

func newCapacitySampler(world *World, history *histories.History) *capacitySampler {
	return &capacitySampler{world: world, history: history, readySince: map[string]time.Time{}}
}

// sample notes the room now and again and again.
func (sampler *capacitySampler) sample() {
	sampler.record()
	sampler.world.After(capacityInterval, sampler.sample)
}

// record takes the backend's room by what each runner is and how it is listed.
func (sampler *capacitySampler) record() {
	world := sampler.world
	listed := sampler.warmListed()
	room := histories.CapacitySample{At: world.Now, Free: map[string]int{}, Slots: map[string]int{}}
	for _, host := range world.Runners() {
		engine := host.runner.engine
		well := host.up && !host.frozen && engine.servesRequests()
		if well && listed[engine.id] && !engine.warmingUp() && sampler.isReachable(host) {
			room.Free[host.Zone] += max(0, engine.profile.Slots-engine.active)
			room.Slots[host.Zone] += engine.profile.Slots
		}
	}
	sampler.history.CapacitySamples = append(sampler.history.CapacitySamples, room)
}

// warmListed returns the ids of the runners that have been listed as ready for long enough.
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

// isReachable reports whether most daemons can talk to a runner.
func (sampler *capacitySampler) isReachable(runner *Host) bool {
	reached, all := 0, 0
	for _, host := range sampler.world.Datas() {
		all++
		if sampler.world.topology.passes(host, runner) && sampler.world.topology.passes(runner, host) {
			reached++
		}
	}
	return reached*2 > all
}
