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
	end, going := world.injector.record(impact{knowable: perConnection}, world.Runners()...), true
	var reset func()
	reset = func() {
		if !going {
			return
		}
		host := world.pick(world.Datas())
		for _, conn := range append([]*conn{}, host.conns...) {
			if world.random.Intn(2) == 0 {
				conn.resetBothEnds()
			}
		}
		world.After(time.Duration(world.random.Int63n(int64(resetGap))), reset)
	}
	reset()
	return both(end, func() { going = false })
}
