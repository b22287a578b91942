package simulation

import (
	"time"

	"wardtray/verify/loadtest"
)

// noticed is how long the platform takes to take a dead runner off its list.
const noticed = 1500 * time.Millisecond

// anyTime is for how long a harm goes on that shows on each connection by itself, at any time: longer than any harm
// lasts.
const anyTime = 10 * time.Second

// misbehave changes a runner's nature for a while.
func misbehave(knowable time.Duration, change func(engine *engine, on bool)) func(world *World) func() {
	return func(world *World) func() {
		host := world.injector.runner()
		engine, over := host.engine, world.injector.record(false, knowable, host)
		change(engine, true)
		return both(over, func() { change(engine, false) })
	}
}

// list troubles what the platform serves.
func list(change func(platform *platform, on bool)) func(world *World) func() {
	return func(world *World) func() {
		change(&world.Platform, true)
		return func() { change(&world.Platform, false) }
	}
}

// RunnerFaults are all the kinds of harm on the request path: of runners, of the platform's list, of
// planned work, and of clients.
var RunnerFaults = map[string]func(world *World) (undo func()){
	"runner killed": func(world *World) func() {
		host := world.injector.runner()
		over := world.injector.record(false, 0, host)
		host.Kill()
		world.Platform.delist(host)
		return both(over, reboot(host))
	},
	"runner dark": func(world *World) func() {
		host := world.injector.runner()
		over := world.injector.record(false, unresponsiveBound, host)
		host.Power()
		world.Platform.delist(host)
		return both(over, reboot(host))
	},
	"runner frozen": func(world *World) func() {
		host := world.injector.runner()
		over := world.injector.record(false, unresponsiveBound, host)
		host.Freeze()
		return both(over, func() { host.Wake() })
	},
	"runner deaf": func(world *World) func() {
		host := world.injector.runner()
		over := world.injector.record(false, unresponsiveBound, host)
		for _, daemon := range world.Datas() {
			world.topology.Cut(daemon, host)
		}
		return both(over, world.topology.Heal)
	},
	"runner unheard": func(world *World) func() {
		host := world.injector.runner()
		over := world.injector.record(false, unresponsiveBound, host)
		for _, daemon := range world.Datas() {
			world.topology.Cut(host, daemon)
		}
		return both(over, world.topology.Heal)
	},
	"runner cut and delisted": func(world *World) func() {
		host := world.injector.runner()
		incarnation, over := host.incarnation, world.injector.record(false, unresponsiveBound, host)
		world.topology.CutOff([]*Host{host}, world.Datas())
		world.After(noticed, func() {
			if host.incarnation == incarnation {
				world.Platform.set(host, "")
			}
		})
		return func() {
			over()
			world.topology.Heal()
			if host.incarnation == incarnation && host.up {
				world.Platform.set(host, "ready")
			}
		}
	},
	"daemon cut from runners": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.injector.record(false, unresponsiveBound, host)
		world.topology.CutOff([]*Host{host}, world.Runners())
		return both(over, world.topology.Heal)
	},
	"runner mute":    misbehave(unresponsiveBound, func(engine *engine, on bool) { engine.unresponsive = on }),
	"runner partial": misbehave(0, func(engine *engine, on bool) { engine.partial = on }),
	"runner fails":   misbehave(0, func(engine *engine, on bool) { engine.fails = on }),
	"runner slow": misbehave(unresponsiveBound,
		func(engine *engine, on bool) { engine.slow = map[bool]int{true: 8, false: 1}[on] }),
	"runner garbles": func(world *World) func() {
		host := world.injector.runner()
		engine, over := host.engine, world.injector.record(false, 0, host)
		names := []string{"skip", "repeat", "false count", "strange", "no number"}
		engine.garble = names[world.random.Intn(len(names))]
		return both(over, func() { engine.garble = "" })
	},
	"runner late": misbehave(unresponsiveBound,
		func(engine *engine, on bool) { engine.late = map[bool]time.Duration{true: 400 * time.Millisecond}[on] }),
	"runner gives surplus answers": misbehave(anyTime, func(engine *engine, on bool) { engine.surplus = on }),
	"connections reset": func(world *World) func() {
		over, going := world.injector.record(false, anyTime, world.Runners()...), true
		var reset func()
		reset = func() {
			if !going {
				return
			}
			host := world.pick(world.Datas())
			// Both ends learn of it when it comes to them, before, while or after they write.
			for _, conn := range append([]*conn{}, host.conns...) {
				if world.random.Intn(2) == 0 {
					torn := conn
					world.After(world.network.transitTime(), func() { torn.fail(errReset) })
					world.After(world.network.transitTime(), func() { torn.peer.fail(errReset) })
				}
			}
			world.After(time.Duration(world.random.Int63n(int64(200*time.Millisecond))), reset)
		}
		reset()
		return both(over, func() { going = false })
	},
	"daemon frozen for a moment": func(world *World) func() {
		host, going := world.pick(world.Datas()), true
		over := world.injector.record(false, 0, host)
		// It stops wherever a course reads, waits or dials, which is as near to a write as the simulator comes.
		var stop func()
		stop = func() {
			if !going {
				return
			}
			host.Freeze()
			world.After(time.Duration(world.random.Int63n(int64(1500*time.Millisecond))), func() {
				host.Wake()
				world.After(time.Duration(world.random.Int63n(int64(300*time.Millisecond))), stop)
			})
		}
		stop()
		return both(over, func() { going = false })
	},
	"all put back": func(world *World) func() {
		overs := make([]func(), 0, len(world.Runners()))
		for _, host := range world.Runners() {
			overs = append(overs, world.injector.record(false, 0, host))
			host.engine.rejects = true
		}
		return func() {
			for _, host := range world.Runners() {
				host.engine.rejects = false
			}
			for _, over := range overs {
				over()
			}
		}
	},
	"pool killed": func(world *World) func() {
		over := world.injector.record(false, 0, world.Runners()...)
		for _, host := range world.Runners() {
			host.Kill()
			world.Platform.delist(host)
		}
		return func() {
			for _, host := range world.Runners() {
				host.Boot()
			}
			over()
		}
	},
	"runner drained": func(world *World) func() {
		host := world.injector.runner()
		incarnation := host.incarnation
		world.Platform.set(host, "draining")
		return func() {
			if host.incarnation != incarnation {
				return
			}
			over := world.injector.record(false, 0, host)
			host.Kill()
			host.Boot()
			over()
		}
	},
	"runner delisted": func(world *World) func() {
		host := world.injector.runner()
		incarnation := host.incarnation
		world.Platform.set(host, "")
		return func() {
			if host.incarnation == incarnation && host.up {
				world.Platform.set(host, "ready")
			}
		}
	},
	"address taken": func(world *World) func() {
		host := world.injector.runner()
		over := world.injector.record(false, 0, host)
		host.Kill()
		incarnation := host.incarnation + 1
		host.service = "a-stranger"
		host.Boot()
		world.After(noticed, func() {
			if host.incarnation == incarnation {
				world.Platform.set(host, "")
			}
		})
		return func() {
			host.service = ""
			host.Kill()
			host.Boot()
			over()
		}
	},
	"list silent": list(func(platform *platform, on bool) { platform.unreachable = on }),
	"list empty":  list(func(platform *platform, on bool) { platform.empty = on }),
	"list stuck":  list(func(platform *platform, on bool) { platform.frozen = on }),
	"list half":   list(func(platform *platform, on bool) { platform.truncated = on }),
	"list older":  list(func(platform *platform, on bool) { platform.outdated = on }),
	"daemon drained": func(world *World) func() {
		world.pick(world.Datas()).drainData()
		return func() {}
	},
	"crowd": func(world *World) func() {
		world.Traffic.overloadBursts++
		return func() { world.Traffic.overloadBursts-- }
	},
	"hot key": func(world *World) func() {
		world.Traffic.Hot = 0.9
		return func() { world.Traffic.Hot = 0 }
	},
	"uneven daemons": func(world *World) func() {
		world.Traffic.Uneven = true
		return func() { world.Traffic.Uneven = false }
	},
}

// drainTime is how long a daemon told to stop goes on taking requests.
const drainTime = 2 * time.Second

// Trial says how a deployment with its request path is tried.
type Trial struct {
	// Faults are the kinds of harm done, AtOnce how many at once, for Length.
	Faults []string
	AtOnce int
	Length time.Duration
	// Every is about how often operators send a change, Takes the part of their specs that take
	// something away.
	Every    time.Duration
	TakeAway float64
	// Rate is how many requests come a second; Quits, Leaves and Repeats are the parts of them whose clients
	// hang up in the middle of an answer, hang up at any moment, or send them again.
	Rate, HangUpsMidway, HangUps, Retries float64
	// Mix, where it is given, changes the deployment's.
	Mix func(mix loadtest.Mix) loadtest.Mix
}

// DefaultTrial is that of the proofs, without any harm yet.
var DefaultTrial = Trial{
	AtOnce:        1,
	Length:        40 * time.Second,
	Every:         2 * time.Second,
	TakeAway:      0.25,
	Rate:          60,
	HangUpsMidway: 0.01,
	Retries:       0.03,
}

// Try founds a deployment, injects faults under load, ends them, and checks the whole history.
func Try(seed int64, shape Shape, trial Trial) *World {
	if trial.Mix != nil {
		shape.Mix = trial.Mix(shape.Mix)
	}
	world := Found(seed, shape)
	defer world.Close()
	traffic := world.Traffic
	world.Run(8 * time.Second)
	first := newOperators(world, 500_000)
	first.apply(world.Cores()[0])
	world.Run(3 * time.Second)
	traffic.Rate, traffic.Retries, traffic.TakeAway = trial.Rate, trial.Retries, trial.TakeAway
	traffic.HangUpsMidway, traffic.HangUps = trial.HangUpsMidway, trial.HangUps
	operators := world.StartOperators(trial.Every)
	world.Run(5 * time.Second)
	if len(trial.Faults) > 0 {
		scheduleFaults(world, trial.Length, trial.Faults, trial.AtOnce)
	}
	world.Run(trial.Length + time.Millisecond)
	// Whether service is back can only be seen while somebody asks for it.
	traffic.TakeAway = 0
	world.Run(returnBound)
	operators.Stop()
	world.recovery.requireService()
	traffic.stopped = true
	// The longest patience must be over before a request can be called forgotten.
	end := world.Now.Add(45 * time.Second)
	for traffic.waiting() > 0 && world.Now.Before(end) && len(world.Check.Violations) == 0 {
		world.Run(time.Second)
	}
	if len(world.Check.Violations) == 0 {
		traffic.finishAll()
	}
	if len(world.Check.Violations) == 0 {
		traffic.End()
	}
	return world
}

// waiting tells how many clients have no answer yet.
func (traffic *Traffic) waiting() int {
	count := 0
	for _, host := range traffic.world.Datas() {
		count += len(host.clients)
	}
	return count
}

// finishAll looks for requests that were never answered although nothing keeps them any more.
func (traffic *Traffic) finishAll() {
	for _, host := range traffic.world.Datas() {
		for _, client := range host.clients {
			traffic.world.Check.violation("dropped: %s, sent to %s %v ago, has no answer yet", client.record.Request,
				host.Address, traffic.world.Now.Sub(client.record.Sent))
		}
	}
}
