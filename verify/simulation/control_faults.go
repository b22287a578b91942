package simulation

import (
	"sort"
	"time"

	"wardtray/verify/histories"
)

func reboot(host *Host) func() {
	return func() { host.Boot() }
}

// Faults are all the kinds of harm of the brief, each within what a deployment must bear alone.
var Faults = map[string]func(world *World) (undo func()){
	"data killed": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.injector.record(true, 0, host)
		host.Kill()
		return both(over, reboot(host))
	},
	"data without power": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.injector.record(true, unresponsiveBound, host)
		host.Power()
		return both(over, reboot(host))
	},
	"daemons restarted": func(world *World) func() {
		world.injector.restart(world.Datas())
		return func() {}
	},
	"all restarted": func(world *World) func() {
		world.injector.shuffleSeeds()
		world.injector.restart(append(world.Cores(), world.Datas()...))
		return func() {}
	},
	"core replaced": func(world *World) func() {
		if !world.recovery.isRedundant() {
			return func() {}
		}
		old := world.pick(world.Cores())
		old.Kill()
		old.removed, old.poweredOff = true, world.random.Intn(2) == 0
		return reboot(world.injector.addReplacement(old))
	},
	"data frozen": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.injector.record(false, 0, host)
		host.Freeze()
		return both(over, func() { host.Wake() })
	},
	"data cut off": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.injector.record(false, 0, host)
		world.topology.CutOff([]*Host{host}, without(world.Hosts, host))
		return both(over, world.topology.Heal)
	},
	"data cut from control": func(world *World) func() {
		host := world.pick(world.Datas())
		world.topology.CutOff([]*Host{host}, world.Cores())
		return world.topology.Heal
	},
	"data deaf": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.injector.record(false, 0, host)
		for _, other := range without(world.Hosts, host) {
			world.topology.Cut(other, host)
		}
		return both(over, world.topology.Heal)
	},
	"core killed": func(world *World) func() {
		host := world.pick(world.Cores())
		host.Kill()
		return reboot(host)
	},
	"core without power": func(world *World) func() {
		host := world.pick(world.Cores())
		host.Power()
		return reboot(host)
	},
	"core wiped": func(world *World) func() {
		// Two disks lost at once are more than any deployment bears, and nothing could be checked after that.
		if !world.recovery.isRedundant() {
			return func() {}
		}
		host := world.pick(world.Cores())
		host.Wipe()
		return reboot(host)
	},
	"core frozen": func(world *World) func() {
		host := world.pick(world.Cores())
		host.Freeze()
		return func() { host.Wake() }
	},
	"disk stalled": func(world *World) func() {
		host := world.pick(world.Cores())
		host.stalled = true
		return func() { host.stalled = false; host.write() }
	},
	"head's disk stalled": func(world *World) func() {
		host := world.injector.head()
		host.stalled = true
		return func() { host.stalled = false; host.write() }
	},
	"head killed": func(world *World) func() {
		host := world.injector.head()
		host.Kill()
		return reboot(host)
	},
	"core slow": func(world *World) func() {
		host := world.pick(world.Cores())
		host.processingDelay = 300 * time.Millisecond
		return func() { host.processingDelay = 0 }
	},
	"core halved": func(world *World) func() {
		cores := world.Cores()
		world.random.Shuffle(len(cores),
			func(left, right int) { cores[left], cores[right] = cores[right], cores[left] })
		world.topology.CutOff(cores[:len(cores)/2], cores[len(cores)/2:])
		return world.topology.Heal
	},
	"disk slow": func(world *World) func() {
		host := world.pick(world.Cores())
		host.diskDelay = 300 * time.Millisecond
		return func() { host.diskDelay = 0 }
	},
	"all disks slow": func(world *World) func() {
		for _, host := range world.Cores() {
			host.diskDelay = 300 * time.Millisecond
		}
		return func() {
			for _, host := range world.Cores() {
				host.diskDelay = 0
			}
		}
	},
	"power after acknowledgement": func(world *World) func() {
		var lost []*Host
		var overs []func()
		world.Check.OnAccepted = func() {
			world.Check.OnAccepted = nil
			// Whatever was told as accepted must be on the disks by now, however many machines stop here.
			world.After(0, func() {
				for _, host := range world.Hosts {
					if host.up && (host.Core || world.random.Intn(2) == 0) {
						overs = append(overs, world.injector.record(true, unresponsiveBound, host))
						host.Power()
						lost = append(lost, host)
					}
				}
			})
		}
		return func() {
			world.Check.OnAccepted = nil
			for index, host := range lost {
				host.Boot()
				overs[index]()
			}
		}
	},
	"disks lost in the dark": func(world *World) func() {
		var lost []*Host
		var overs []func()
		world.Check.OnAccepted = func() {
			// As many disks as may be lost, while the memory of every other machine is only what its disk holds.
			if !world.recovery.isRedundant() {
				return
			}
			world.Check.OnAccepted = nil
			world.After(0, func() {
				cores := world.Cores()
				world.random.Shuffle(len(cores),
					func(left, right int) { cores[left], cores[right] = cores[right], cores[left] })
				lost = append([]*Host{}, world.Hosts...)
				for _, host := range lost {
					overs = append(overs, world.injector.record(true, unresponsiveBound, host))
					host.Power()
				}
				for _, host := range cores[:min(world.Faults, len(cores)-1)] {
					host.Wipe()
					host.poweredOff = true
				}
			})
		}
		return func() {
			world.Check.OnAccepted = nil
			for index, host := range lost {
				host.Boot()
				overs[index]()
			}
		}
	},
	"disk damaged": func(world *World) func() {
		host := world.pick(world.Cores())
		names := []string{"slot.0", "slot.1", "log"}
		// Other copies must be whole, or the fleet would have lost two disks.
		if content := host.disk.files[names[world.random.Intn(3)]]; len(content) > 0 && world.recovery.isRedundant() {
			content[world.random.Intn(len(content))] ^= 0x40
			// Until a sweep has found it, or the machine has started anew, the loss of another disk is one too many.
			world.recovery.noteDiskDamage()
		}
		return func() {}
	},
	"disk full": func(world *World) func() {
		host := world.pick(world.Cores())
		host.disk.full = true
		full := host.disk
		return func() { full.full = false }
	},
	"core cut off": func(world *World) func() {
		host := world.pick(world.Cores())
		world.topology.CutOff([]*Host{host}, without(world.Hosts, host))
		return world.topology.Heal
	},
	"core deaf": func(world *World) func() {
		host := world.pick(world.Cores())
		for _, other := range without(world.Hosts, host) {
			world.topology.Cut(other, host)
		}
		return world.topology.Heal
	},
	"core mute": func(world *World) func() {
		host := world.pick(world.Cores())
		for _, other := range without(world.Hosts, host) {
			world.topology.Cut(host, other)
		}
		return world.topology.Heal
	},
	"core link cut one way": func(world *World) func() {
		host := world.pick(world.Cores())
		world.topology.Cut(host, world.pick(without(world.Cores(), host)))
		return world.topology.Heal
	},
	"control cut from data": func(world *World) func() {
		world.topology.CutOff(world.Cores(), world.Datas())
		return world.topology.Heal
	},
	"zone cut off": func(world *World) func() {
		zone := world.pick(world.Cores()).Zone
		inside, outside := world.zone(zone)
		over := world.injector.record(false, unresponsiveBound, inside...)
		world.topology.CutOff(inside, outside)
		return both(over, world.topology.Heal)
	},
	"zone lost": func(world *World) func() {
		inside, _ := world.zone(world.pick(world.Cores()).Zone)
		over := world.injector.record(true, unresponsiveBound, inside...)
		for _, host := range inside {
			host.Power()
		}
		return func() {
			over()
			for _, host := range inside {
				host.Boot()
			}
		}
	},
	"all down": func(world *World) func() {
		over := world.injector.record(true, unresponsiveBound, world.Hosts...)
		for _, host := range world.Hosts {
			host.Power()
		}
		return func() {
			over()
			for _, host := range world.Hosts {
				host.Boot()
			}
			if traffic := world.Traffic; traffic != nil {
				traffic.History.Returns = append(traffic.History.Returns, histories.Return{At: world.Now})
				operators := newOperators(world, 700_000+100*len(world.Check.Orders))
				operators.retryChange(world.Now.Add(returnBound))
			}
		}
	},
	"lossy network": func(world *World) func() {
		world.network.Loss = 0.15
		return func() { world.network.Loss = 0 }
	},
	"slow network": func(world *World) func() {
		// At 0.4 s a message no daemon can be sure of a new spec in time; the brief knows no such network.
		over := world.injector.record(false, unresponsiveBound, world.Hosts...)
		world.network.Jitter = 400 * time.Millisecond
		return both(over, func() { world.network.Jitter = defaultJitter })
	},
	"runner replaced": func(world *World) func() {
		if world.Traffic != nil {
			return RunnerFaults["runner killed"](world)
		}
		world.Platform.replace(world.random)
		return func() {}
	},
}

func without(hosts []*Host, out *Host) []*Host {
	var rest []*Host
	for _, host := range hosts {
		if host != out {
			rest = append(rest, host)
		}
	}
	return rest
}

// faultNamed returns a kind of fault by its name, or nil.
func faultNamed(name string) func(world *World) (undo func()) {
	if found := Faults[name]; found != nil {
		return found
	}
	if found := RegistrationFaults[name]; found != nil {
		return found
	}
	return RunnerFaults[name]
}

// FaultNames returns every kind of fault of the control plane and its daemons in order.
func FaultNames() []string { return sorted(Faults) }

// RunnerFaultNames returns every kind of fault of the request path in order.
func RunnerFaultNames() []string { return sorted(RunnerFaults) }

func sorted[Value any](of map[string]Value) []string {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// both does one after the other.
func both(first, second func()) func() {
	return func() {
		first()
		second()
	}
}
