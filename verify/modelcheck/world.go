package modelcheck

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/node"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane/controller"
	"wardtray/wire"
)

// host is one machine of the model.
type host struct {
	name        string
	zone        string
	core        bool
	incarnation int
	// ran tells that its process was ever started; a later start founds nothing.
	ran    bool
	up     bool
	frozen bool
	// booted is when its process began.
	booted time.Time
	// dark tells that nothing at all answers; a machine that is not up and not dark refuses connections.
	dark bool
	// gone tells that the machine left by order and was taken away.
	gone    bool
	leaving bool
	node    *node.Node
	machine *controller.Controller
	disk    *disk
	// document and view are those of this host that were checked last.
	document *wire.Document
	view     *wire.View
	// writes wait for the disk, backlog for the end of a freeze.
	writes  []statemachine.Write
	backlog []delayed
}

// delayed is a step that waits for the end of a freeze; digest stands for what it does.
type delayed struct {
	digest uint64
	do     func()
}

// message is one that is on its way.
type message struct {
	from, to string
	kind     string
	content  string
	digest   uint64
}

// world is one state: the machines, what is on its way between them, and what the checks remember.
type world struct {
	scenario *Scenario
	now      time.Time
	started  time.Time
	hosts    []*host
	byName   map[string]*host
	explored map[string]bool
	// smooth has every message delivered and every write synced at once.
	smooth   bool
	queue    []func()
	flying   []message
	held     []message
	cutOff   map[string]bool
	budget   map[Verb]int
	sent     []bool
	identity int
	finished bool
	judge    *judge
}

func newWorld(scenario *Scenario) *world {
	started := time.Unix(1_700_000_000, 0)
	world := &world{scenario: scenario, now: started, started: started, byName: map[string]*host{}, explored: map[string]bool{}, smooth: true,
		cutOff: map[string]bool{}, budget: map[Verb]int{}, sent: make([]bool, len(scenario.Sends))}
	for _, kind := range scenario.Explored {
		world.explored[kind] = true
	}
	for verb, count := range scenario.Budget {
		world.budget[verb] = count
	}
	for number := range scenario.Cores {
		world.add(&host{name: coreName(number), zone: zoneName(number), core: true, disk: newDisk()})
	}
	for number := range scenario.Daemons {
		world.add(&host{name: fmt.Sprintf("daemon%d", number+1), zone: zoneName(number)})
	}
	world.judge = newJudge(world)
	return world
}

func coreName(number int) string { return fmt.Sprintf("core%d", number+1) }

func zoneName(number int) string { return string(rune('a' + number%3)) }

func (world *world) add(host *host) {
	world.hosts = append(world.hosts, host)
	world.byName[host.name] = host
}

func (world *world) founders() []string {
	var names []string
	for number := range world.scenario.Founders {
		names = append(names, coreName(number))
	}
	return names
}

// boot starts a process from what its disk holds.
func (world *world) boot(host *host) {
	first := !host.ran
	host.ran, host.up, host.dark, host.frozen, host.leaving = true, true, false, false, false
	host.writes, host.backlog, host.booted = nil, nil, world.now
	host.incarnation++
	random := newRandom(host.name, host.incarnation)
	if !host.core {
		host.machine = controller.New(world.now, controller.Settings{Address: host.name, HTTP: host.name, Zone: host.zone, Seeds: world.founders(), Registered: true,
			WithoutCore: withoutCore}, random)
		return
	}
	if host.disk.memory == nil {
		world.identity++
		host.disk.memory = &wire.DurableState{Id: fmt.Sprintf("disk%d-%s", world.identity, host.name)}
	}
	founding := first && strings.Contains(strings.Join(world.founders(), " "), host.name)
	host.node = node.New(world.now, node.Settings{Address: host.name, HTTP: host.name, Zone: host.zone, Seeds: world.founders(), Founders: world.founders(),
		Founding: founding, Faults: faults}, host.disk.memory, host.disk.records, random)
}

// step runs one step of a host's machine, takes over what that asks for, and checks what it may have broken.
// digest stands for what the step does.
func (world *world) step(host *host, incarnation int, digest uint64, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog, delayed{digest: digest, do: func() { world.step(host, incarnation, digest, do) }})
		return
	}
	do()
	world.drain(host)
	world.judge.look(host)
}

func (world *world) drain(host *host) {
	if !host.core {
		for _, parcel := range host.machine.Drain() {
			world.route(host, parcel)
		}
		return
	}
	parcels, writes := host.node.Drain()
	host.writes = append(host.writes, writes...)
	for _, parcel := range parcels {
		world.judge.sending(host, parcel.Envelope)
		world.route(host, parcel)
	}
	if len(host.writes) > 0 && !world.exploresDisks() {
		incarnation := host.incarnation
		world.later(func() {
			if host.up && host.incarnation == incarnation {
				world.sync(host)
			}
		})
	}
}

func (world *world) exploresDisks() bool { return world.scenario.Disks && !world.smooth }

func (world *world) later(do func()) { world.queue = append(world.queue, do) }

// settle does all that needs no choice.
func (world *world) settle() {
	for len(world.queue) > 0 {
		next := world.queue[0]
		world.queue = world.queue[1:]
		next()
	}
}

// route sends a message on its way: among those explored, or at once.
func (world *world) route(from *host, parcel statemachine.Message) {
	target := world.byName[parcel.To]
	if target == nil || world.parted(from.name, target.name) {
		return
	}
	if !target.up {
		world.refuse(from, target)
		return
	}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(parcel.Envelope)
	if err != nil {
		panic(err)
	}
	sending := message{from: from.name, to: target.name, kind: kindOf(parcel.Envelope), content: string(content)}
	sending.digest = digestOf(sending.from + ">" + sending.to + ":" + sending.content)
	if world.smooth || !world.explored[sending.kind] || from == target {
		world.later(func() { world.hand(sending) })
		return
	}
	world.flying = append(world.flying, sending)
}

// kindOf names the kind of an envelope's body, such as ChainPass.
func kindOf(envelope *wire.Envelope) string {
	if envelope.Body == nil {
		return ""
	}
	return strings.TrimPrefix(reflect.TypeOf(envelope.Body).Elem().Name(), "Envelope_")
}

// hand delivers a message.
func (world *world) hand(message message) {
	target := world.byName[message.to]
	if !target.up || world.parted(message.from, message.to) {
		return
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal([]byte(message.content), envelope); err != nil {
		panic(err)
	}
	world.step(target, target.incarnation, message.digest, func() {
		if target.core {
			target.node.Receive(world.now, envelope)
			return
		}
		target.machine.Receive(world.now, envelope)
	})
}

// refuse tells a host that nobody listens at another, if the machine there is alive to say so.
func (world *world) refuse(from, to *host) {
	if to.dark {
		return
	}
	incarnation, tried := from.incarnation, world.now
	world.later(func() {
		if to.up || world.parted(from.name, to.name) {
			return
		}
		world.step(from, incarnation, digestOf("refused "+to.name), func() {
			if from.core {
				from.node.Refused(world.now, to.name, tried)
				return
			}
			from.machine.Refused(world.now, to.name, tried)
		})
	})
}

// parted tells whether two machines can't reach each other: only one of them is in the group that is cut off, or the
// link between them is cut.
func (world *world) parted(one, other string) bool {
	return world.cutOff[one] != world.cutOff[other] || world.cutOff[linkName(one, other)] || world.cutOff[linkName(other, one)]
}

func linkName(one, other string) string { return one + "|" + other }

// sync completes all writes that a machine's disk was asked for.
func (world *world) sync(host *host) {
	writes := host.writes
	host.writes = nil
	if len(writes) == 0 {
		return
	}
	for _, write := range writes {
		host.disk.carry(write)
	}
	last := writes[len(writes)-1].Sequence
	world.step(host, host.incarnation, last, func() { host.node.Synced(world.now, last) })
}

// tick lets one step of time pass and ticks every process.
func (world *world) tick() {
	world.now = world.now.Add(step)
	for _, host := range world.hosts {
		// A frozen process misses its ticks.
		if host.up && !host.frozen {
			world.step(host, host.incarnation, 0, func() { world.tickHost(host) })
			world.settle()
		}
	}
}

func (world *world) tickHost(host *host) {
	if host.core {
		host.node.Tick(world.now)
		return
	}
	host.machine.Tick(world.now)
}

// wait lets time pass while every message is delivered and every write synced.
func (world *world) wait(steps int) {
	world.smooth = true
	for range steps {
		world.tick()
		world.flush()
	}
	world.smooth = false
}

// flush delivers and syncs whatever is left from before, in a fixed order.
func (world *world) flush() {
	for _, host := range world.hosts {
		if host.up && !host.frozen {
			world.sync(host)
		}
	}
	flying := world.flying
	world.flying = nil
	for _, message := range flying {
		if world.byName[message.to].frozen {
			world.flying = append(world.flying, message)
			continue
		}
		world.hand(message)
	}
	world.settle()
}

// end stops a process; what waited for its disk is lost.
func (world *world) end(host *host, dark bool) {
	host.up, host.dark, host.frozen, host.writes, host.backlog = false, dark, false, nil, nil
	host.node, host.machine = nil, nil
	world.lose(func(message message) bool { return message.to == host.name })
	if dark {
		return
	}
	// The system of a machine whose process ended closes its connections; whoever had one tries again at once.
	for _, other := range world.hosts {
		if other.up && !world.parted(other.name, host.name) {
			world.refuse(other, host)
		}
	}
}

// lose takes messages out of those on their way.
func (world *world) lose(lost func(message message) bool) {
	for _, list := range []*[]message{&world.flying, &world.held} {
		kept := (*list)[:0:0]
		for _, message := range *list {
			if !lost(message) {
				kept = append(kept, message)
			}
		}
		*list = kept
	}
}

// leader gives the machine that leads at this moment, if one does.
func (world *world) leader() *host {
	for _, host := range world.hosts {
		if host.core && host.up && !host.frozen && host.node.Leading(world.now) {
			return host
		}
	}
	return nil
}

// fingerprint is the digest of everything that decides how this world goes on.
func (world *world) fingerprint() uint64 {
	sum, walker := digestSeed, newWalker(world.now)
	for _, host := range world.hosts {
		world.addHost(&sum, walker, host)
	}
	sum.addSorted(digestsOf(world.flying))
	sum.addSorted(digestsOf(world.held))
	sum.add(walker.walk(reflect.ValueOf(world.cutOff)))
	sum.add(walker.walk(reflect.ValueOf(world.budget)))
	sum.add(walker.walk(reflect.ValueOf(world.sent)))
	sum.add(uint64(world.identity))
	world.judge.addTo(&sum, walker)
	return uint64(sum)
}

func (world *world) addHost(sum *digest, walker *walker, host *host) {
	sum.addText(fmt.Sprint(host.incarnation, host.ran, host.up, host.frozen, host.dark, host.gone, host.leaving))
	sum.addTime(world.now, host.booted)
	for _, delayed := range host.backlog {
		sum.add(delayed.digest)
	}
	sum.add(walker.walk(reflect.ValueOf(host.node)))
	sum.add(walker.walk(reflect.ValueOf(host.machine)))
	if host.core {
		sum.add(uint64(host.disk.digest))
	}
	sum.add(walker.walk(reflect.ValueOf(host.writes)))
}

func digestsOf(messages []message) []uint64 {
	digests := make([]uint64, 0, len(messages))
	for _, message := range messages {
		digests = append(digests, message.digest)
	}
	return digests
}

// names sorts the names of hosts that a condition holds for.
func (world *world) names(is func(host *host) bool) []string {
	var names []string
	for _, host := range world.hosts {
		if is(host) {
			names = append(names, host.name)
		}
	}
	sort.Strings(names)
	return names
}
