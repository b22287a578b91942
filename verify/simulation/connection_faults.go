package simulation

import "time"

const (
	// resetGap is the longest time between two resets of connections.
	resetGap = 200 * time.Millisecond
	// momentaryFreeze is the longest of the repeated freezes of a daemon, momentaryRun the longest time that it runs
	// between two of them.
	momentaryFreeze = 1500 * time.Millisecond
	momentaryRun    = 300 * time.Millisecond
)

// connectionFaults are the kinds of fault of connections between daemons and runners.
var connectionFaults = map[string]Fault{
	"daemon cut from runners":    onDaemon(unresponsive, cutFromRunners),
	"daemon frozen for a moment": onDaemon(impact{}, freezeForMoments),
	"connections reset":          resetConnections,
}

func cutFromRunners(world *World, host *Host) func() {
	world.topology.CutOff([]*Host{host}, world.Runners())
	return world.topology.Heal
}

// freezeForMoments freezes a process repeatedly. A process stops only where an exchange reads, waits or dials; the
// simulator can't stop it in the middle of a write.
func freezeForMoments(world *World, host *Host) func() {
	going := true
	var freeze func()
	freeze = func() {
		if !going {
			return
		}
		host.Freeze()
		world.After(time.Duration(world.random.Int63n(int64(momentaryFreeze))), func() {
			host.Wake()
			world.After(time.Duration(world.random.Int63n(int64(momentaryRun))), freeze)
		})
	}
	freeze()
	return func() { going = false }
}

// resetConnections repeatedly resets about half of the connections of a random daemon.
func resetConnections(world *World) func() {
	affected, going := &affectedRunners{world: world, impact: impact{detectableAfter: perConnection}}, true
	var reset func()
	reset = func() {
		if !going {
			return
		}
		affected.record()
		host := world.pick(world.Daemons())
		for _, conn := range append([]*conn{}, host.conns...) {
			if world.random.Intn(2) == 0 {
				conn.resetBothEnds()
			}
		}
		world.After(time.Duration(world.random.Int63n(int64(resetGap))), reset)
	}
	reset()
	return both(affected.end, func() { going = false })
}

// affectedRunners are the runners that a fault affects, including those that start while it lasts.
type affectedRunners struct {
	world  *World
	impact impact
	known  map[string]bool
	ends   []func()
}

// record records the fault for the runners that have started since the last call.
func (affected *affectedRunners) record() {
	if affected.known == nil {
		affected.known = map[string]bool{}
	}
	for _, host := range affected.world.Runners() {
		if identity := host.runner.engine.id; !affected.known[identity] {
			affected.known[identity] = true
			affected.ends = append(affected.ends, affected.world.injector.record(affected.impact, host))
		}
	}
}

// end records the end of the fault for all affected runners.
func (affected *affectedRunners) end() {
	for _, end := range affected.ends {
		end()
	}
}
