// Package simulation is a seeded world in one thread: a network, clocks and disks on which the very state
// machines of the daemons run, while faults are done to them and the rules are checked after each
// step. The same seed gives the same run; a failure names its seed.
package simulation

import (
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/node"
	"wardtray/control/storage"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const (
	tickEvery    = 50 * time.Millisecond
	backlogLimit = 2000
	// defaultWithoutCore is for how long daemons go on while they reach no core machine.
	defaultWithoutCore = 5 * time.Minute
)

type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(left, right int) bool {
	if !events[left].at.Equal(events[right].at) {
		return events[left].at.Before(events[right].at)
	}
	return events[left].sequence < events[right].sequence
}
func (events events) Swap(left, right int) { events[left], events[right] = events[right], events[left] }
func (events *events) Push(added any) {
	planned, isEvent := added.(event)
	if !isEvent {
		panic(fmt.Sprintf("the queue holds no %T", added))
	}
	*events = append(*events, planned)
}
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// Host is one simulated machine's process: a core, a data daemon or a runner.
type Host struct {
	Address    string
	Zone       string
	Core       bool
	node       *node.Node
	controller *controller.Controller
	plane      *dataplane.Plane
	engine     *engine
	// coroutines are the pieces of work of this life that have begun and not ended.
	coroutines []*coroutine
	conns      []*conn
	clients    []*client
	// poweredOff means that the machine is gone without a word: nothing answers, not even its system.
	poweredOff  bool
	service     string
	disk        *disk
	store       *snapshot.Store
	writes      []statemachine.Write
	writing     bool
	up          bool
	incarnation int
	frozen      bool
	backlog     []func()
	// wokenAt is when the process last woke from a freeze.
	wokenAt   time.Time
	stalled   bool
	diskDelay time.Duration
	drift     float64
	seeds     []string
	// removed means that the machine was taken away for good.
	removed bool
	// everStarted means that the machine came after the fleet's first start.
	everStarted bool
	// processingDelay is how much later than others it deals with what comes.
	processingDelay time.Duration
	// Sent is how many bytes of messages it has sent.
	Sent uint64
	// The greatest epoch under which this address awarded work.
	servedEpoch uint64
	isolation   isolation
	// resetAt is when the machine's connections were last reset: what was on its way then is lost.
	resetAt time.Time
	// leasedUntil is up to when a data daemon was last seen to be sure of its spec, by its own clock; sureSince is
	// since when it has been so without a break.
	leasedUntil, leasedSince time.Time
}

// Up reports whether the host runs.
func (host *Host) Up() bool { return host.up }

// Node returns the state machine of a core.
func (host *Host) Node() *node.Node { return host.node }

// Data returns the controller of a data daemon.
func (host *Host) Data() *controller.Controller { return host.controller }

// World is the whole simulation.
type World struct {
	Seed     int64
	Now      time.Time
	started  time.Time
	queue    events
	sequence uint64
	random   *rand.Rand
	Hosts    []*Host
	byName   map[string]*Host
	cuts     map[[2]string]bool
	// links holds when one host last sent to another; its connection stays for a while.
	links  map[[2]string]time.Time
	Loss   float64
	Delay  time.Duration
	Jitter time.Duration
	// Messages and Bytes count what was sent; for the measurements of cost and spread.
	Messages, Bytes, AcrossBytes uint64
	trace                        uint64
	Platform                     platform
	Check                        *Checker
	// Traffic is the request path, where there is one.
	Traffic *Traffic
	// RegisteringRunners are the runners that register themselves, where they do.
	RegisteringRunners *RegisteringRunners
	current            *coroutine
	founders, seeds    []string
	// Faults is how many machines may lose their disks at once.
	Faults     int
	identities int
	// Metrics, if set, hears of every message.
	Metrics  func(from, to *Host, kind string, size int)
	replaced int
	// unscrubbedUntil is up to when damage on a disk may not have been found yet.
	unscrubbedUntil time.Time
	// Log names the faults done and undone.
	Log []string
	// WithoutCore is for how long data daemons go on while they reach no core machine.
	WithoutCore time.Duration
	// topologyDirty means that the topology has changed since the isolation of daemons was last computed.
	topologyDirty bool
}

// NewWorld makes an empty world.
func NewWorld(seed int64) *World {
	started := time.Unix(1_700_000_000, 0)
	world := &World{
		Seed:        seed,
		Now:         started,
		started:     started,
		random:      rand.New(rand.NewSource(seed)),
		byName:      map[string]*Host{},
		cuts:        map[[2]string]bool{},
		links:       map[[2]string]time.Time{},
		Delay:       time.Millisecond,
		Jitter:      4 * time.Millisecond,
		WithoutCore: defaultWithoutCore,
	}
	world.Check = newChecker(world)
	world.Platform.world = world
	return world
}

// At plans something.
func (world *World) At(at time.Time, do func()) {
	world.sequence++
	heap.Push(&world.queue, event{at: at, sequence: world.sequence, do: do})
}

// After plans something for later.
func (world *World) After(length time.Duration, do func()) { world.At(world.Now.Add(length), do) }

// Run goes on for a length of simulated time, or until a rule is broken.
func (world *World) Run(length time.Duration) {
	end := world.Now.Add(length)
	for len(world.queue) > 0 && !world.queue[0].at.After(end) && len(world.Check.Violations) == 0 {
		next := world.queue[0]
		heap.Pop(&world.queue)
		world.Now = next.at
		next.do()
		world.refreshIsolation()
		world.addToTrace(uint64(next.at.UnixNano()) ^ next.sequence<<1)
	}
	world.Now = end
}

// addToTrace folds something into the trace, so that two runs of one seed can be compared.
func (world *World) addToTrace(value uint64) {
	world.trace = (world.trace ^ value) * 0x100000001b3
}

// Trace is a hash of all that happened.
func (world *World) Trace() uint64 { return world.trace }

// local returns a host's own clock.
func (world *World) local(host *Host) time.Time {
	passed := world.Now.Sub(world.started)
	return world.started.Add(passed + time.Duration(float64(passed)*host.drift))
}

// AddCore and AddData bring in machines; Boot starts them.
func (world *World) AddCore(address, zone string) *Host { return world.add(address, zone, true) }

// AddData brings in a data daemon.
func (world *World) AddData(address, zone string) *Host { return world.add(address, zone, false) }

func (world *World) add(address, zone string, isCore bool) *Host {
	host := &Host{
		Address: address,
		Zone:    zone,
		Core:    isCore,
		drift:   (world.random.Float64() - 0.5) * 0.01,
		seeds:   world.seeds,
	}
	if isCore {
		host.disk = newDisk(world.random)
	}
	world.Hosts = append(world.Hosts, host)
	world.topologyChanged()
	world.byName[address] = host
	return host
}

// SetSeeds says which addresses all processes begin with; founders are the same.
func (world *World) SetSeeds(seeds []string) {
	world.seeds, world.founders = seeds, seeds
	for _, host := range world.Hosts {
		host.seeds = seeds
	}
}

// Boot starts a host's process from what its disk holds.
func (world *World) Boot(host *Host) {
	if host.up || host.removed {
		return
	}
	world.topologyChanged()
	host.up, host.frozen, host.backlog, host.writes, host.writing, host.poweredOff = true, false, nil, nil, false, false
	host.incarnation++
	if host.engine != nil {
		world.bootRunner(host)
		return
	}
	now, random := world.local(host), rand.New(rand.NewSource(world.random.Int63()))
	if !host.Core {
		world.bootData(host, random)
		world.tick(host, host.incarnation)
		return
	}
	host.disk.dying = false
	restored, err := storage.Restore(host.disk, func() string {
		world.identities++
		return fmt.Sprintf("disk-%d-%s", world.identities, host.Address)
	}, "")
	if err != nil {
		// A full disk lets nothing start; the machine is tried again later, as an operator's supervisor would.
		host.up = false
		incarnation := host.incarnation
		world.After(time.Second, func() {
			if host.incarnation == incarnation {
				world.Boot(host)
			}
		})
		return
	}
	host.store = restored.Store
	// Only the very first start may found a fleet; a machine whose disk is lost later must not.
	founding := !host.everStarted
	host.everStarted = true
	host.node = node.New(
		now,
		node.Settings{Address: host.Address, Zone: host.Zone, Seeds: host.seeds, Founders: world.founders,
			Founding: founding, Faults: world.Faults, Heartbeat: callEvery},
		restored.Memory,
		restored.Records,
		random,
	)
	world.tick(host, host.incarnation)
}

// on runs something in a host's process, or later if it is frozen, or never if it ended.
func (world *World) on(host *Host, incarnation int, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog, func() { world.on(host, incarnation, do) })
		return
	}
	do()
	if host.engine != nil {
		return
	}
	world.drain(host)
	world.recordLease(host)
	world.stir(host)
	world.Check.step(host)
}

func (world *World) tick(host *Host, incarnation int) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		world.on(host, incarnation, func() {
			now := world.local(host)
			if host.Core {
				host.node.Tick(now)
				return
			}
			host.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
		})
	}
	world.After(tickEvery, func() { world.tick(host, incarnation) })
}

func (world *World) drain(host *Host) {
	if !host.Core {
		return
	}
	outbox, writes := host.node.Drain()
	world.send(host, outbox)
	host.writes = append(host.writes, writes...)
	world.write(host)
}

// write lets the disk carry out what waits, one batch at a time.
func (world *World) write(host *Host) {
	if host.writing || len(host.writes) == 0 || host.stalled {
		return
	}
	host.writing = true
	batch, incarnation := host.writes, host.incarnation
	host.writes = nil
	world.After(time.Millisecond+time.Duration(world.random.Int63n(int64(3*time.Millisecond)))+host.diskDelay, func() {
		world.finishWrite(host, incarnation, batch)
	})
}

func (world *World) finishWrite(host *Host, incarnation int, batch []statemachine.Write) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.stalled {
		world.After(20*time.Millisecond, func() { world.finishWrite(host, incarnation, batch) })
		return
	}
	host.writing = false
	// The disk works on while the process is frozen; the process hears of it when it wakes.
	storage.Carry(host.store, batch, func(sequence uint64) {
		world.on(host, incarnation, func() { host.node.Synced(world.local(host), sequence) })
	}, func(error) {
		world.on(host, incarnation, func() { host.node.DiskFailed(world.local(host)) })
	})
	world.write(host)
}

func (world *World) send(host *Host, outbox []statemachine.Message) {
	for _, outgoing := range outbox {
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(outgoing.Envelope)
		if err != nil {
			panic(err)
		}
		world.Messages++
		world.Bytes += uint64(len(content))
		host.Sent += uint64(len(content))
		target := world.byName[outgoing.To]
		world.countMessage(host, target, outgoing.Envelope, len(content))
		if target != nil && target.Zone != host.Zone {
			world.AcrossBytes += uint64(len(content))
		}
		hash := fnv.New64a()
		_, _ = hash.Write(content)
		world.addToTrace(hash.Sum64())
		if target == nil || world.random.Float64() < world.Loss {
			continue
		}
		from, tried, sent := host, world.local(host), world.Now
		world.links[[2]string{host.Address, outgoing.To}] = world.Now
		world.After(world.lag()+target.processingDelay, func() {
			if !sent.After(from.resetAt) || !sent.After(target.resetAt) {
				return
			}
			world.deliver(from, target, content)
			world.refuseConnection(from, target, tried)
		})
	}
}

func (world *World) lag() time.Duration {
	return world.Delay + time.Duration(world.random.Int63n(int64(world.Jitter)+1))
}

// refuseConnection tells a sender that nobody listened where its message came to, if the machine there is alive to say
// so.
func (world *World) refuseConnection(from, to *Host, tried time.Time) {
	if to.up || to.poweredOff || to.engine != nil || world.disconnected(from, to) {
		return
	}
	incarnation := from.incarnation
	world.After(world.lag(), func() {
		if world.disconnected(from, to) {
			return
		}
		world.on(from, incarnation, func() {
			if from.Core {
				from.node.Refused(world.local(from), to.Address, tried)
				return
			}
			from.plane.Step(
				func(now time.Time, machine *controller.Controller) { machine.Refused(now, to.Address, tried) },
			)
		})
	})
}

func (world *World) disconnected(one, other *Host) bool {
	return world.cuts[[2]string{one.Address, other.Address}] || world.cuts[[2]string{other.Address, one.Address}]
}

// connectionLasts is how long an idle connection is kept.
const connectionLasts = time.Minute

// closeConnections has the system of a machine whose process ended close its connections; whoever had one tries again
// at once.
func (world *World) closeConnections(host *Host) {
	for _, other := range world.Hosts {
		sent, linked := world.links[[2]string{other.Address, host.Address}]
		if !linked || !other.up || other == host || world.Now.Sub(sent) > connectionLasts {
			continue
		}
		from, incarnation := other, other.incarnation
		world.After(world.lag(), func() {
			if from.incarnation == incarnation && !world.disconnected(from, host) {
				tried := world.local(from)
				world.After(world.lag(), func() { world.refuseConnection(from, host, tried) })
			}
		})
	}
}

func (world *World) deliver(from, to *Host, content []byte) {
	// A frozen machine's sockets hold only so much.
	if world.cuts[[2]string{from.Address, to.Address}] || !to.up || to.frozen && len(to.backlog) >= backlogLimit {
		return
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(content, envelope); err != nil {
		panic(err)
	}
	world.on(to, to.incarnation, func() {
		if to.Core {
			to.node.Receive(world.local(to), envelope)
			return
		}
		to.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Receive(now, envelope) })
	})
}

// Kill ends a process; what its disk has synced stays.
func (world *World) Kill(host *Host) {
	world.endStreams(host)
	if host.up && !host.poweredOff && host.engine == nil {
		world.closeConnections(host)
	}
	world.topologyChanged()
	host.up = false
	host.incarnation++
	host.backlog, host.writes, host.writing = nil, nil, false
	host.controller, host.plane = nil, nil
}

// Power takes the power from a machine in the middle of whatever it was writing.
func (world *World) Power(host *Host) {
	if host.Core && host.up && len(host.writes) > 0 {
		host.disk.dying = true
		storage.Carry(host.store, host.writes, func(uint64) {}, func(error) {})
	}
	host.poweredOff = true
	world.Kill(host)
}

// Wipe loses a disk; the next start is of a new identity.
func (world *World) Wipe(host *Host) {
	world.Kill(host)
	host.disk, host.node = newDisk(world.random), nil
}

// Freeze stops a process without ending it; Wake lets it go on, with all that came meanwhile.
func (world *World) Freeze(host *Host) {
	host.frozen = true
	world.topologyChanged()
}

// Wake ends a freeze.
func (world *World) Wake(host *Host) {
	if !host.frozen {
		return
	}
	host.frozen, host.wokenAt = false, world.Now
	world.topologyChanged()
	held := host.backlog
	host.backlog = nil
	for _, do := range held {
		do()
	}
}

// Cut stops messages from one host to another; Heal ends all cuts.
func (world *World) Cut(from, to *Host) {
	world.cuts[[2]string{from.Address, to.Address}] = true
	world.topologyChanged()
}

// CutOff parts two groups from each other.
func (world *World) CutOff(left, right []*Host) {
	for _, one := range left {
		for _, other := range right {
			world.Cut(one, other)
			world.Cut(other, one)
		}
	}
}

// Heal ends all cuts.
func (world *World) Heal() {
	world.cuts = map[[2]string]bool{}
	world.topologyChanged()
}

// Cores returns the hosts with a disk, Datas the others.
func (world *World) Cores() []*Host { return world.of(true) }

// Datas returns the data daemons.
func (world *World) Datas() []*Host { return world.of(false) }

func (world *World) of(isCore bool) []*Host {
	var hosts []*Host
	for _, host := range world.Hosts {
		if host.Core == isCore && host.engine == nil && !host.removed {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Runners returns the runners' hosts.
func (world *World) Runners() []*Host {
	var hosts []*Host
	for _, host := range world.Hosts {
		if host.engine != nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// bootData starts a data daemon as its process would.
func (world *World) bootData(host *Host, random *rand.Rand) {
	incarnation := host.incarnation
	made, err := dataplane.New(netio.Environment{
		Now:  func() time.Time { return world.local(host) },
		Go:   func(work func()) { world.spawn(host, work) },
		Wait: world.wait,
		Dial: func(ctx context.Context, address string, terms netio.Timeouts) (netio.Conn, error) {
			return world.dial(ctx, host, address, terms)
		},
	}, dataplane.Settings{
		Settings: controller.Settings{Address: host.Address, HTTP: host.Address, Zone: host.Zone, Seeds: host.seeds,
			Registered: world.RegisteringRunners != nil, WithoutCore: world.WithoutCore},
		Random: random, Await: world.await,
		Send: func(outbox []statemachine.Message) { world.send(host, outbox) },
		Poll: func() { world.Platform.poll(host, incarnation) }, Log: silent,
	})
	if err != nil {
		panic(err)
	}
	host.plane = made
	made.Look(func(machine *controller.Controller) { host.controller = machine })
	if world.Traffic == nil {
		return
	}
	world.every(host, incarnation, dataplane.SettleEvery, made.Settle)
	world.every(host, incarnation, dataplane.PressureEvery, made.AskPressures)
	world.every(host, incarnation, dataplane.WatchEvery, made.Watch)
	world.every(host, incarnation, dataplane.AgeEvery, made.Age)
}

// recordLease notes since when a data daemon has been sure of its spec.
func (world *World) recordLease(host *Host) {
	if host.plane == nil {
		return
	}
	if local := world.local(host); !local.Before(host.leasedUntil) {
		host.leasedSince = world.Now
	}
	host.leasedUntil = host.plane.Snapshot().Until
}

// every does something in a host's process again and again, while that lives and is not frozen.
func (world *World) every(host *Host, incarnation int, length time.Duration, do func()) {
	world.After(time.Duration(world.random.Int63n(int64(length))),
		func() { world.again(host, incarnation, length, do) })
}

func (world *World) again(host *Host, incarnation int, length time.Duration, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		world.on(host, incarnation, do)
	}
	world.After(length, func() { world.again(host, incarnation, length, do) })
}
