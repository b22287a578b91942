package simulation

import (
	"time"
)

const (
	// A fault lasts for minimumFaultLength and a random time of at most faultLengthSpread more; the next one is considered
	// after minimumFaultGap and a random time of at most faultGapSpread more.
	minimumFaultLength = 200 * time.Millisecond
	faultLengthSpread  = 8 * time.Second
	minimumFaultGap    = 200 * time.Millisecond
	faultGapSpread     = 3 * time.Second
)

// faultScheduler injects random faults for a period, at most atOnce at the same time, and undoes each after a random
// time. A fault counts until the fleet has its full redundancy back. All faults are undone at the end.
type faultScheduler struct {
	world *World
	// names are the kinds of fault that are drawn from.
	names  []string
	atOnce int
	end    time.Time
	// unrepaired counts the faults after which the fleet has not been redundant again yet, active those not undone yet.
	unrepaired, active int
	// lastEnded is the time at which a fault was last undone. A repair can't complete while another fault is active, so
	// the time of each repair counts from lastEnded.
	lastEnded time.Time
	injected  []*injectedFault
}

// injectedFault is one fault that was injected.
type injectedFault struct {
	name   string
	undo   func()
	undone bool
}

// scheduleFaults injects faults of these kinds from now on for a duration, at most atOnce at the same time.
func scheduleFaults(world *World, length time.Duration, names []string, atOnce int) {
	scheduler := &faultScheduler{
		world:     world,
		names:     names,
		atOnce:    atOnce,
		end:       world.Now.Add(length),
		lastEnded: world.Now,
	}
	scheduler.step()
	world.At(scheduler.end, scheduler.finish)
}

// step injects a fault unless atOnce are unrepaired, and schedules the next step until the end.
func (scheduler *faultScheduler) step() {
	world := scheduler.world
	if !world.Now.Before(scheduler.end) {
		return
	}
	if scheduler.unrepaired < scheduler.atOnce {
		scheduler.inject(scheduler.names[world.random.Intn(len(scheduler.names))])
	}
	world.After(minimumFaultGap+time.Duration(world.random.Int63n(int64(faultGapSpread))), scheduler.step)
}

// inject injects one fault, which is undone after a random time.
func (scheduler *faultScheduler) inject(name string) {
	world := scheduler.world
	fault := &injectedFault{name: name, undo: faultNamed(name)(world)}
	world.injector.log("%s", name)
	scheduler.unrepaired++
	scheduler.active++
	scheduler.injected = append(scheduler.injected, fault)
	world.After(minimumFaultLength+time.Duration(world.random.Int63n(int64(faultLengthSpread))),
		func() { scheduler.undo(fault) })
}

// undo ends a fault that has not ended yet; it counts until it is repaired.
func (scheduler *faultScheduler) undo(fault *injectedFault) {
	if fault.undone {
		return
	}
	fault.undone = true
	scheduler.world.injector.log("end of %s", fault.name)
	fault.undo()
	scheduler.active--
	scheduler.lastEnded = scheduler.world.Now
	scheduler.world.recovery.whenRepaired(
		func() (time.Time, bool) { return scheduler.lastEnded, scheduler.active > 0 },
		func() { scheduler.unrepaired-- },
	)
}

// finish undoes all faults and heals all links.
func (scheduler *faultScheduler) finish() {
	for _, fault := range scheduler.injected {
		scheduler.undo(fault)
	}
	scheduler.world.topology.Heal()
}
