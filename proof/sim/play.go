package sim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/edge/plane"
	"wardtray/proof/history"
	"wardtray/proof/load"
	"wardtray/wire"
)

const (
	returnBound = history.ReturnBound
	repairBound = 15 * time.Second
	// sweepAllowance is how long damage on a disk may go unfound: until the next sweep, and a while to mend it.
	sweepAllowance = 6 * time.Second
)

// fill lists so many runners.
func (platform *platform) fill(count int) {
	platform.left = map[string]time.Time{}
	for range count {
		platform.add()
	}
}

func (platform *platform) add() {
	platform.lives++
	platform.runners = append(platform.runners, &wire.Runner{RunnerId: fmt.Sprintf("r%d", platform.lives), Address: "x", Zone: "a", Service: "s", State: "ready"})
}

// replace takes one runner off and lists another.
func (platform *platform) replace(random *rand.Rand) {
	place := random.Intn(len(platform.runners))
	platform.left[platform.runners[place].RunnerId] = platform.world.Now
	kept := append([]*wire.Runner{}, platform.runners[:place]...)
	platform.runners = append(kept, platform.runners[place+1:]...)
	platform.add()
}

func (platform *platform) poll(host *Host, life int) {
	content, read := platform.served(), !platform.silent
	world := platform.world
	world.After(5*time.Millisecond, func() {
		world.on(host, life, func() { host.plane.Listed(content, read) })
	})
}

// served is the list as the platform gives it now.
func (platform *platform) served() []byte {
	lines := []plane.ListLine{}
	for _, runner := range platform.runners {
		lines = append(lines, plane.ListLine{RunnerID: runner.RunnerId, Address: runner.Address, Zone: runner.Zone, Service: runner.Service, State: runner.State})
	}
	if platform.empty {
		lines = lines[:0]
	}
	content, err := json.Marshal(lines)
	if err != nil {
		panic(err)
	}
	return content
}

// Shape is the size of a simulated deployment.
type Shape struct {
	Zones    []string
	Machines []int
	Disks    []int
	// Faults is how many machines may lose their disks at once; 1 if not told.
	Faults int
	// Mix is the work of its requesters; without one the control plane is played alone.
	Mix load.Mix
}

// With gives the shape with its request path.
func (shape Shape) With(mix load.Mix) Shape {
	shape.Mix = mix
	return shape
}

// Guild and Ferries are the two deployments; their machines run both planes where there is a disk.
var (
	Guild   = Shape{Zones: []string{"a", "b", "c"}, Machines: []int{4, 4, 4}, Disks: []int{1, 1, 1}}
	Ferries = Shape{Zones: []string{"a", "b", "c", "d"}, Machines: []int{3, 3, 3, 2}, Disks: []int{1, 1, 1, 1}}
	// Grown has eight disks, of which two may be lost at once.
	Grown = Shape{Zones: []string{"a", "b", "c", "d"}, Machines: []int{5, 5, 5, 5}, Disks: []int{2, 2, 2, 2}, Faults: 2}
	// Single, Pair and Narrow have few disks, or few zones.
	Single = Shape{Zones: []string{"a", "b"}, Machines: []int{2, 2}, Disks: []int{1, 0}}
	Pair   = Shape{Zones: []string{"a", "b"}, Machines: []int{2, 2}, Disks: []int{1, 1}}
	Narrow = Shape{Zones: []string{"a"}, Machines: []int{8}, Disks: []int{6}, Faults: 2}
)

// Found builds a deployment and boots it; what comes before that may change the world.
func Found(seed int64, shape Shape, before ...func(world *World)) *World {
	world := NewWorld(seed)
	world.Faults = max(1, shape.Faults)
	var seeds []string
	for place, zone := range shape.Zones {
		for number := range shape.Machines[place] {
			name := fmt.Sprintf("%s%d", zone, number)
			if number < shape.Disks[place] {
				world.AddCore(name+":core", zone)
				if len(seeds) < 3 {
					seeds = append(seeds, name+":core")
				}
			}
			world.AddData(name+":data", zone)
		}
	}
	world.SetSeeds(seeds)
	for _, change := range before {
		change(world)
	}
	if shape.Mix.Model == "" {
		world.Platform.fill(18)
	} else {
		world.StartTraffic(shape.Mix, shape.Zones, 18)
	}
	for _, host := range world.Hosts {
		booted := host
		world.After(time.Duration(world.random.Intn(500))*time.Millisecond, func() { world.Boot(booted) })
	}
	return world
}

// SpecText is a small spec; the number makes each one different.
func SpecText(number int) []byte {
	return []byte(fmt.Sprintf(`{"zones":[{"name":"a","closed":false},{"name":"b","closed":false},{"name":"c","closed":false},{"name":"d","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"l%d","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`, number))
}

// Operators send changes now and then: two at once on one base, whole specs and named entries, with epochs
// that climb in uneven steps, closures, reads, and changes sent again unchanged.
type Operators struct {
	world  *World
	number int
	base   uint64
	stop   bool
	every  time.Duration
	// The newest change, and what became of it.
	last  *wire.OperatorAsk
	order *Order
}

// StartOperators begins.
func (world *World) StartOperators(every time.Duration) *Operators {
	operators := &Operators{world: world, every: every}
	operators.next()
	return operators
}

// Stop ends them.
func (operators *Operators) Stop() { operators.stop = true }

func (operators *Operators) next() {
	if operators.stop {
		return
	}
	world := operators.world
	cores := world.Cores()
	pick := func() *Host { return cores[world.random.Intn(len(cores))] }
	operators.base = world.Check.greatestKnown()
	choices := []func(){
		func() {
			operators.change(pick())
			operators.change(pick())
		},
		func() { operators.change(pick()) },
		func() { operators.amend(pick()) },
		func() {
			operators.amend(pick())
			operators.again(pick())
		},
		func() {
			operators.apply(pick())
			world.After(time.Duration(world.random.Int63n(int64(2*time.Second))), func() { operators.again(pick()) })
		},
		func() {
			operators.number++
			verb := []string{"close", "open"}[world.random.Intn(2)]
			world.Check.Send(pick(), &wire.OperatorAsk{Verb: verb, Zone: []string{"a", "b", "c"}[world.random.Intn(3)],
				Operation: fmt.Sprintf("o%d", operators.number)})
		},
		func() { world.Check.Send(pick(), &wire.OperatorAsk{Verb: "get"}) },
		func() {
			operators.number++
			operation := fmt.Sprintf("o%d", operators.number)
			world.Check.invalid[operation] = true
			invalid := []*wire.OperatorAsk{
				{Verb: "apply", Spec: []byte(`{"zones":[{"name":"a","closed":false}],"pools":[],"lanes":[]}`), Base: operators.base, HasBase: true},
				{Verb: "apply", Spec: []byte(`{"zones":`), Base: operators.base, HasBase: true},
				{Verb: "close", Zone: "nowhere"},
				{Verb: "apply", Spec: SpecText(operators.number), Base: operators.base, HasBase: true, Epoch: operators.base, HasEpoch: true},
				{Verb: "change", Spec: []byte(`{"upsert":{"lanes":[{"name":"lost","pool":"nowhere","patience":"1s"}]}}`), Base: operators.base, HasBase: true},
				{Verb: "change", Spec: []byte(`{"remove":{"lanes":["l"]`), Base: operators.base, HasBase: true},
			}[world.random.Intn(6)]
			invalid.Operation = operation
			world.Check.Send(pick(), invalid)
		},
	}
	choices[world.random.Intn(len(choices))]()
	world.After(operators.every/2+time.Duration(world.random.Int63n(int64(operators.every))), operators.next)
}

func (operators *Operators) apply(host *Host) *Order {
	operators.number++
	content := SpecText(operators.number)
	if traffic := operators.world.Traffic; traffic != nil {
		content = traffic.draft(fmt.Sprintf("o%d", operators.number), operators.number)
	}
	return operators.send(host, &wire.OperatorAsk{Verb: "apply", Spec: content})
}

// change sends a whole spec or named entries.
func (operators *Operators) change(host *Host) *Order {
	return []func(host *Host) *Order{operators.apply, operators.amend}[operators.world.random.Intn(2)](host)
}

// amend sends named entries.
func (operators *Operators) amend(host *Host) *Order {
	operators.number++
	content := fmt.Sprintf(`{"upsert":{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"x%d","pool":"p","patience":"1s"}]},"remove":{"lanes":["x%d"]}}`, operators.number, operators.number-1)
	if traffic := operators.world.Traffic; traffic != nil {
		content = string(traffic.amend(operators.number).Encode())
	}
	return operators.send(host, &wire.OperatorAsk{Verb: "change", Spec: []byte(content)})
}

// send completes a change with its base, its operation and, now and then, an epoch some steps on.
func (operators *Operators) send(host *Host, ask *wire.OperatorAsk) *Order {
	random := operators.world.random
	ask.Base, ask.HasBase, ask.Operation = operators.base, true, fmt.Sprintf("o%d", operators.number)
	if random.Intn(2) == 0 {
		ask.Epoch, ask.HasEpoch = operators.base+1+uint64(random.Intn(5)), true
	}
	// Whoever carries an order marks it, and the operator's own copy must stay as it was.
	operators.last = proto.Clone(ask).(*wire.OperatorAsk)
	operators.order = operators.world.Check.Send(host, ask)
	return operators.order
}

// again sends the newest change once more, as an operator does who got no clear answer.
func (operators *Operators) again(host *Host) *Order {
	if operators.last == nil {
		return nil
	}
	return operators.world.Check.Resend(host, operators.order, operators.last)
}

// greatestKnown is what an operator who reads would build on.
func (checker *Checker) greatestKnown() uint64 {
	greatest := uint64(0)
	for _, epoch := range checker.known {
		greatest = max(greatest, epoch)
	}
	return greatest
}

// Fault is something that is done to a world and undone later.
type Fault struct {
	Name string
	// Do does it and gives what undoes it.
	Do func(world *World) (undo func())
}

func reboot(world *World, host *Host) func() {
	return func() { world.Boot(host) }
}

func (world *World) pick(hosts []*Host) *Host { return hosts[world.random.Intn(len(hosts))] }

// Faults are all the kinds of harm of the brief, each within what a deployment must bear alone.
var Faults = map[string]func(world *World) (undo func()){
	"data killed": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.touch(true, 0, host)
		world.Kill(host)
		return both(over, reboot(world, host))
	},
	"data without power": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.touch(true, silentLoss, host)
		world.Power(host)
		return both(over, reboot(world, host))
	},
	"daemons restarted": func(world *World) func() {
		return world.restart(world.Datas())
	},
	"all restarted": func(world *World) func() {
		world.shuffleSeeds()
		return world.restart(append(world.Cores(), world.Datas()...))
	},
	"core replaced": func(world *World) func() {
		if !world.redundant() {
			return func() {}
		}
		old := world.pick(world.Cores())
		world.Kill(old)
		old.gone, old.dark = true, world.random.Intn(2) == 0
		world.replaced++
		host := world.add(fmt.Sprintf("%s+%d", old.Address, world.replaced), old.Zone, true)
		host.newcomer = true
		world.shuffleSeeds()
		return reboot(world, host)
	},
	"data frozen": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.touch(false, 0, host)
		world.Freeze(host)
		return both(over, func() { world.Wake(host) })
	},
	"data cut off": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.touch(false, 0, host)
		world.CutOff([]*Host{host}, without(world.Hosts, host))
		return both(over, world.Heal)
	},
	"data cut from control": func(world *World) func() {
		host := world.pick(world.Datas())
		world.CutOff([]*Host{host}, world.Cores())
		return world.Heal
	},
	"data deaf": func(world *World) func() {
		host := world.pick(world.Datas())
		over := world.touch(false, 0, host)
		for _, other := range without(world.Hosts, host) {
			world.Cut(other, host)
		}
		return both(over, world.Heal)
	},
	"core killed": func(world *World) func() {
		host := world.pick(world.Cores())
		world.Kill(host)
		return reboot(world, host)
	},
	"core without power": func(world *World) func() {
		host := world.pick(world.Cores())
		world.Power(host)
		return reboot(world, host)
	},
	"core wiped": func(world *World) func() {
		// Two disks lost at once are more than any deployment bears, and nothing could be checked after that.
		if !world.redundant() {
			return func() {}
		}
		host := world.pick(world.Cores())
		world.Wipe(host)
		return reboot(world, host)
	},
	"core frozen": func(world *World) func() {
		host := world.pick(world.Cores())
		world.Freeze(host)
		return func() { world.Wake(host) }
	},
	"disk stalled": func(world *World) func() {
		host := world.pick(world.Cores())
		host.stalled = true
		return func() { host.stalled = false; world.write(host) }
	},
	"head's disk stalled": func(world *World) func() {
		host := world.head()
		host.stalled = true
		return func() { host.stalled = false; world.write(host) }
	},
	"head killed": func(world *World) func() {
		host := world.head()
		world.Kill(host)
		return reboot(world, host)
	},
	"core slow": func(world *World) func() {
		host := world.pick(world.Cores())
		host.late = 300 * time.Millisecond
		return func() { host.late = 0 }
	},
	"core halved": func(world *World) func() {
		cores := world.Cores()
		world.random.Shuffle(len(cores), func(left, right int) { cores[left], cores[right] = cores[right], cores[left] })
		world.CutOff(cores[:len(cores)/2], cores[len(cores)/2:])
		return world.Heal
	},
	"disk slow": func(world *World) func() {
		host := world.pick(world.Cores())
		host.slow = 300 * time.Millisecond
		return func() { host.slow = 0 }
	},
	"all disks slow": func(world *World) func() {
		for _, host := range world.Cores() {
			host.slow = 300 * time.Millisecond
		}
		return func() {
			for _, host := range world.Cores() {
				host.slow = 0
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
						overs = append(overs, world.touch(true, silentLoss, host))
						world.Power(host)
						lost = append(lost, host)
					}
				}
			})
		}
		return func() {
			world.Check.OnAccepted = nil
			for place, host := range lost {
				world.Boot(host)
				overs[place]()
			}
		}
	},
	"disks lost in the dark": func(world *World) func() {
		var lost []*Host
		var overs []func()
		world.Check.OnAccepted = func() {
			// As many disks as may be lost, while the memory of every other machine is only what its disk holds.
			if !world.redundant() {
				return
			}
			world.Check.OnAccepted = nil
			world.After(0, func() {
				cores := world.Cores()
				world.random.Shuffle(len(cores), func(left, right int) { cores[left], cores[right] = cores[right], cores[left] })
				lost = append([]*Host{}, world.Hosts...)
				for _, host := range lost {
					overs = append(overs, world.touch(true, silentLoss, host))
					world.Power(host)
				}
				for _, host := range cores[:min(world.Faults, len(cores)-1)] {
					world.Wipe(host)
					host.dark = true
				}
			})
		}
		return func() {
			world.Check.OnAccepted = nil
			for place, host := range lost {
				world.Boot(host)
				overs[place]()
			}
		}
	},
	"disk damaged": func(world *World) func() {
		host := world.pick(world.Cores())
		names := []string{"slot.0", "slot.1", "log"}
		// Other copies must be whole, or the fleet would have lost two disks.
		if content := host.disk.files[names[world.random.Intn(3)]]; len(content) > 0 && world.redundant() {
			content[world.random.Intn(len(content))] ^= 0x40
			// Until a sweep has found it, or the machine has started anew, the loss of another disk is one too many.
			world.unswept = world.Now.Add(sweepAllowance)
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
		world.CutOff([]*Host{host}, without(world.Hosts, host))
		return world.Heal
	},
	"core deaf": func(world *World) func() {
		host := world.pick(world.Cores())
		for _, other := range without(world.Hosts, host) {
			world.Cut(other, host)
		}
		return world.Heal
	},
	"core mute": func(world *World) func() {
		host := world.pick(world.Cores())
		for _, other := range without(world.Hosts, host) {
			world.Cut(host, other)
		}
		return world.Heal
	},
	"core link cut one way": func(world *World) func() {
		host := world.pick(world.Cores())
		world.Cut(host, world.pick(without(world.Cores(), host)))
		return world.Heal
	},
	"control cut from data": func(world *World) func() {
		world.CutOff(world.Cores(), world.Datas())
		return world.Heal
	},
	"zone cut off": func(world *World) func() {
		zone := world.pick(world.Cores()).Zone
		inside, outside := world.zone(zone)
		over := world.touch(false, silentLoss, inside...)
		world.CutOff(inside, outside)
		return both(over, world.Heal)
	},
	"zone lost": func(world *World) func() {
		inside, _ := world.zone(world.pick(world.Cores()).Zone)
		over := world.touch(true, silentLoss, inside...)
		for _, host := range inside {
			world.Power(host)
		}
		return func() {
			over()
			for _, host := range inside {
				world.Boot(host)
			}
		}
	},
	"all down": func(world *World) func() {
		over := world.touch(true, silentLoss, world.Hosts...)
		for _, host := range world.Hosts {
			world.Power(host)
		}
		return func() {
			over()
			for _, host := range world.Hosts {
				world.Boot(host)
			}
			if traffic := world.Traffic; traffic != nil {
				traffic.History.Returns = append(traffic.History.Returns, history.Return{At: world.Now})
				world.insist(world.Now.Add(returnBound))
			}
		}
	},
	"lossy network": func(world *World) func() {
		world.Loss = 0.15
		return func() { world.Loss = 0 }
	},
	"slow network": func(world *World) func() {
		// At 0.4 s a message no daemon can be sure of a new spec in time; the brief knows no such network.
		over := world.touch(false, silentLoss, world.Hosts...)
		world.Jitter = 400 * time.Millisecond
		return both(over, func() { world.Jitter = 4 * time.Millisecond })
	},
	"runner replaced": func(world *World) func() {
		if world.Traffic != nil {
			return RunnerFaults["runner killed"](world)
		}
		world.Platform.replace(world.random)
		return func() {}
	},
}

// restart ends processes one after the other within a second, each for a moment.
func (world *World) restart(hosts []*Host) func() {
	for _, host := range hosts {
		restarted := host
		world.After(time.Duration(world.random.Int63n(int64(time.Second))), func() {
			if !restarted.up || restarted.frozen {
				return
			}
			over := world.touch(true, 0, restarted)
			world.Kill(restarted)
			life := restarted.life
			world.After(200*time.Millisecond+time.Duration(world.random.Int63n(int64(200*time.Millisecond))), func() {
				over()
				if restarted.life == life {
					world.Boot(restarted)
				}
			})
		})
	}
	return func() {}
}

// shuffleSeeds gives every process, from its next start on, other seeds out of the present core machines.
func (world *World) shuffleSeeds() {
	var addresses []string
	for _, host := range world.Cores() {
		addresses = append(addresses, host.Address)
	}
	for _, host := range world.Hosts {
		seeds := append([]string{}, addresses...)
		world.random.Shuffle(len(seeds), func(left, right int) { seeds[left], seeds[right] = seeds[right], seeds[left] })
		host.seeds = seeds[:min(3, len(seeds))]
	}
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

func (world *World) zone(zone string) (inside, outside []*Host) {
	for _, host := range world.Hosts {
		if host.Zone == zone {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	return inside, outside
}

// harm finds a kind of fault by its name.
func harm(name string) func(world *World) (undo func()) {
	if found := Faults[name]; found != nil {
		return found
	}
	if found := CallerFaults[name]; found != nil {
		return found
	}
	return RunnerFaults[name]
}

// FaultNames gives every kind of fault of the control plane and its daemons in order.
func FaultNames() []string { return sorted(Faults) }

// RunnerFaultNames gives every kind of fault of the request path in order.
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

// silentLoss is how long a loss of which nobody says anything may take to be known.
const silentLoss = 4 * time.Second

// touch records that something touches daemons and runners, where there is a request path; the
// function that it gives ends that.
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
			world.Log = append(world.Log, fmt.Sprintf("%v %s", world.Now.Sub(world.begun).Round(time.Millisecond), name))
			active++
			doing++
			done := false
			once := func() {
				if !done {
					done = true
					world.Log = append(world.Log, fmt.Sprintf("%v end of %s", world.Now.Sub(world.begun).Round(time.Millisecond), name))
					undo()
					doing--
					since = world.Now
					world.freed(func() (time.Time, bool) { return since, doing > 0 }, func() { active-- })
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
		world.Heal()
	})
}

// freed waits until nothing the last fault took is missing any more: a deployment must bear one loss
// at a time, and a loss lasts until it is repaired.
func (world *World) freed(last func() (since time.Time, harmed bool), then func()) {
	since, harmed := last()
	if world.redundant() {
		world.Check.worst("full redundancy after a fault", world.Now.Sub(since))
		then()
		return
	}
	if !harmed && world.Now.Sub(since) > repairBound {
		world.Check.broken("not fully redundant %v after a fault\n%s", repairBound, world.Describe())
	}
	world.After(100*time.Millisecond, func() { world.freed(last, then) })
}

// head gives the machine that leads, or any if none does.
func (world *World) head() *Host {
	for _, host := range world.Cores() {
		if host.up && !host.frozen && host.node.Leading(world.local(host)) {
			return host
		}
	}
	return world.pick(world.Cores())
}

// redundant tells whether every core is in the chain and the keepers are live and complete.
func (world *World) redundant() bool {
	if world.Now.Before(world.unswept) {
		return false
	}
	for _, host := range world.Cores() {
		if !host.up || host.frozen {
			return false
		}
		status := host.node.Status(world.local(host))
		place, view := status.Place, host.node.View()
		if place != "outside" && status.Pending > 2 || len(view.Chain) > 0 && view.Chain[0].Id == status.ID && !status.Claim {
			return false
		}
		if len(status.Warnings) > 0 && world.roomy() || len(view.Chain) != min(len(world.Cores()), host.node.ChainLimit()) ||
			false || view.Epoch != world.newestView().Epoch {
			return false
		}
	}
	return true
}

// roomy tells whether there are disks and zones enough for everything that the status page wants; where there
// are not, its warnings stay.
func (world *World) roomy() bool {
	zones := map[string]bool{}
	for _, host := range world.Cores() {
		zones[host.Zone] = true
	}
	return len(world.Cores()) > 2*world.Faults && len(zones) > 2
}

// newestView gives the newest view that any machine knows.
func (world *World) newestView() *wire.View {
	newest := &wire.View{}
	for _, host := range world.Cores() {
		if host.node != nil && host.node.View().Epoch > newest.Epoch {
			newest = host.node.View()
		}
	}
	return newest
}

// insist has an operator send a change again and again until one is accepted or a moment has come, so
// that somebody asks for what the machines' return is judged by.
func (world *World) insist(until time.Time) {
	operators := &Operators{world: world, number: 700_000 + 100*len(world.Check.Orders)}
	var order *Order
	var ask func()
	ask = func() {
		if order != nil && order.Outcome == "accepted" || !world.Now.Before(until) {
			return
		}
		operators.base = world.Check.greatestKnown()
		order = operators.apply(world.pick(world.Cores()))
		world.After(time.Second, ask)
	}
	world.After(time.Second, ask)
}

// Recovered tells whether, within a bound, a change is acknowledged and every daemon serves under it.
func (world *World) Recovered(bound time.Duration) (time.Duration, bool) {
	begun := world.Now
	operators := &Operators{world: world, number: 1_000_000}
	var order *Order
	for world.Now.Sub(begun) < bound && len(world.Check.Broken) == 0 {
		if order == nil || order.Outcome == "refused" || order.Outcome == "unknown" && world.Now.Sub(order.Sent) > 2*time.Second {
			operators.base = world.Check.greatestKnown()
			order = operators.apply(world.pick(world.Cores()))
		}
		world.Run(100 * time.Millisecond)
		if order.Outcome == "accepted" && world.allServe(order.Epoch) {
			return world.Now.Sub(begun), true
		}
	}
	return bound, false
}

func (world *World) allServe(epoch uint64) bool {
	for _, host := range world.Datas() {
		local := world.local(host)
		if !host.up || !local.Before(host.data.Until(local)) || host.data.Snapshot(local).SpecEpoch < epoch {
			return false
		}
	}
	return true
}

// Play founds a deployment, does harm to it for a minute, and sees whether it recovers. Beyond what
// a deployment must bear, with several faults at once, the rules still hold; only service may rest.
func Play(seed int64, shape Shape, names []string, atOnce int) *World {
	return PlayEvery(seed, shape, names, atOnce, 700*time.Millisecond)
}

// PlayEvery is Play with operators that send about so often; often enough makes a storm.
func PlayEvery(seed int64, shape Shape, names []string, atOnce int, every time.Duration) *World {
	world := Found(seed, shape)
	world.Run(8 * time.Second)
	operators := world.StartOperators(every)
	world.Schedule(time.Minute, names, atOnce)
	world.Run(time.Minute + time.Millisecond)
	operators.Stop()
	if len(world.Check.Broken) > 0 {
		return world
	}
	took, fine := world.Recovered(returnBound)
	world.Check.worst("service after the last fault", took)
	if !fine && len(world.Check.Broken) == 0 {
		world.Check.broken("not recovered %v after the last fault\n%s", returnBound, world.Describe())
	}
	return world
}

// Describe tells how each machine stands, for whoever seeks the cause of a failure.
func (world *World) Describe() string {
	text := ""
	for _, line := range world.Log[max(0, len(world.Log)-8):] {
		text += "  " + line + "\n"
	}
	for _, host := range world.Hosts {
		if host.engine != nil || host.gone {
			continue
		}
		if !host.up {
			text += fmt.Sprintf("  %s is down\n", host.Address)
			continue
		}
		local := world.local(host)
		if host.engine != nil {
			continue
		}
		if !host.Core {
			snapshot := host.data.Snapshot(local)
			text += fmt.Sprintf("  %s serves %v, sequence %d, epoch %d, view %d\n", host.Address, local.Before(snapshot.Until), snapshot.Sequence,
				snapshot.SpecEpoch, host.data.View().GetEpoch())
			continue
		}
		status := host.node.Status(local)
		text += fmt.Sprintf("  %s %s %s, view %d, leading %v, claim %v, sick %v, synced %d, committed %d, pending %d, learned in %d, frozen %v, stalled %v\n", host.Address, status.ID,
			status.Place, status.View, status.Leading, status.Claim, status.Sick, status.Synced, status.Committed, status.Pending,
			host.node.Chain().LearnedView(), host.frozen, host.stalled)
		for _, member := range status.Chain {
			text += fmt.Sprintf("    chain  %s %s heard %v\n", member.ID, member.Address, member.Heard)
		}
		for _, member := range status.Keepers {
			text += fmt.Sprintf("    keeper %s %s heard %v\n", member.ID, member.Address, member.Heard)
		}
	}
	return text
}
