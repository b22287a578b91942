package simulation

import "time"

const (
	// resetGap is at most the time between two resets of connections.
	resetGap = 200 * time.Millisecond
	// momentaryFreeze is at most how long a daemon freezes that does so again and again, momentaryRun how long it runs
	// between two freezes.
	momentaryFreeze = 1500 * time.Millisecond
	momentaryRun    = 300 * time.Millisecond
)

// connectionFaults concern the connections between daemons and runners.
var connectionFaults = map[string]Fault{
	"daemon cut from runners":    onDaemon(unresponsive, cutFromRunners),
	"daemon frozen for a moment": onDaemon(impact{}, freezeForMoments),
	"connections reset":          resetConnections,
}

func cutFromRunners(world *World, host *Host) func() {
	world.topology.CutOff([]*Host{host}, world.Runners())
	return world.topology.Heal
}

// freezeForMoments freezes a process again and again. It stops wherever an exchange reads, waits or dials, which is as
// near to a write as the simulator comes.
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

// resetConnections resets about half of a daemon's connections, again and again.
func resetConnections(world *World) func() {
	touched, going := &touchedRunners{world: world, impact: impact{knowable: perConnection}}, true
	var reset func()
	reset = func() {
		if !going {
			return
		}
		touched.record()
		host := world.pick(world.Datas())
		for _, conn := range append([]*conn{}, host.conns...) {
			if world.random.Intn(2) == 0 {
				conn.resetBothEnds()
			}
		}
		world.After(time.Duration(world.random.Int63n(int64(resetGap))), reset)
	}
	reset()
	return both(touched.end, func() { going = false })
}

// touchedRunners are the runners that a fault touches for as long as it lasts, those included that come meanwhile.
type touchedRunners struct {
	world  *World
	impact impact
	known  map[string]bool
	ends   []func()
}

// record records the fault for the runners that are new.
func (touched *touchedRunners) record() {
	if touched.known == nil {
		touched.known = map[string]bool{}
	}
	for _, host := range touched.world.Runners() {
		if identity := host.runner.engine.id; !touched.known[identity] {
			touched.known[identity] = true
			touched.ends = append(touched.ends, touched.world.injector.record(touched.impact, host))
		}
	}
}

// end records the end of the fault.
func (touched *touchedRunners) end() {
	for _, end := range touched.ends {
		end()
	}
}
