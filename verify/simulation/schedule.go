package simulation

import (
	"fmt"
	"time"
)

// unresponsiveBound is how long a loss of which nobody says anything may take to be known.
const unresponsiveBound = 4 * time.Second

// touch records that something touches daemons and runners, where there is a request path; the
// function that it returns ends that.
func (world *World) touch(kills bool, knowable time.Duration, hosts ...*Host) func() {
	if world.Traffic == nil {
		return func() {}
	}
	var ends []func()
	for _, host := range hosts {
		if !host.Core {
			ends = append(ends, world.Traffic.Fault("", host, kills, knowable))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// Schedule does random faults for a length of time: at most so many at once, each undone after a
// while. Everything is undone at the end.
func (world *World) Schedule(length time.Duration, names []string, atOnce int) {
	end := world.Now.Add(length)
	active := 0
	// A machine that another fault still holds can't come back, so the repair counts from the end of the last.
	doing, since := 0, world.Now
	var undos []func()
	var next func()
	next = func() {
		if !world.Now.Before(end) {
			return
		}
		if active < atOnce {
			name := names[world.random.Intn(len(names))]
			undo := harm(name)(world)
			world.Log = append(world.Log,
				fmt.Sprintf("%v %s", world.Now.Sub(world.started).Round(time.Millisecond), name))
			active++
			doing++
			done := false
			once := func() {
				if !done {
					done = true
					world.Log = append(world.Log,
						fmt.Sprintf("%v end of %s", world.Now.Sub(world.started).Round(time.Millisecond), name))
					undo()
					doing--
					since = world.Now
					world.recovery.whenRepaired(func() (time.Time, bool) { return since, doing > 0 }, func() { active-- })
				}
			}
			undos = append(undos, once)
			world.After(200*time.Millisecond+time.Duration(world.random.Int63n(int64(8*time.Second))), once)
		}
		world.After(200*time.Millisecond+time.Duration(world.random.Int63n(int64(3*time.Second))), next)
	}
	next()
	world.At(end, func() {
		for _, undo := range undos {
			undo()
		}
		world.topology.Heal()
	})
}
