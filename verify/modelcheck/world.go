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

// world is one state of the model: the machines, the messages between them, and the checker's records.
type world struct {
	scenario *Scenario
	now      time.Time
	started  time.Time
	hosts    []*host
	byName   map[string]*host
	explored map[string]bool
	// synchronous makes every message be delivered and every write be synced immediately.
	synchronous bool
	queue       *taskQueue
	network     *network
	remaining   map[Verb]int
	sent        []bool
	identities  int
	finished    bool
	checker     *checker
}

func newWorld(scenario *Scenario) *world {
	started := time.Unix(1_700_000_000, 0)
	world := &world{
		scenario:    scenario,
		now:         started,
		started:     started,
		byName:      map[string]*host{},
		explored:    map[string]bool{},
		synchronous: true,
		queue:       &taskQueue{},
		network:     newNetwork(),
		remaining:   map[Verb]int{},
		sent:        make([]bool, len(scenario.Requests)),
	}
	for _, kind := range scenario.ExploredKinds {
		world.explored[kind] = true
	}
	for verb, count := range scenario.Budget {
		world.remaining[verb] = count
	}
	for number := range scenario.ControlNodes {
		world.add(&host{name: controlNodeName(number), zone: zoneName(number), isControlNode: true, disk: newDisk()})
	}
	for number := range scenario.Daemons {
		world.add(&host{name: fmt.Sprintf("daemon%d", number+1), zone: zoneName(number)})
	}
	world.checker = newChecker(world)
	return world
}

func controlNodeName(number int) string { return fmt.Sprintf("core%d", number+1) }

func zoneName(number int) string { return string(rune('a' + number%3)) }

func (world *world) add(host *host) {
	world.hosts = append(world.hosts, host)
	world.byName[host.name] = host
}

// boot starts a host's process from the contents of its disk.
func (world *world) boot(host *host) {
	first := !host.everStarted
	host.everStarted, host.up, host.poweredOff, host.frozen, host.decommissioning = true, true, false, false, false
	host.writes, host.backlog, host.bootedAt = nil, nil, world.now
	host.incarnation++
	random := newRandom(host.name, host.incarnation)
	if !host.isControlNode {
		host.controller = controller.New(
			world.now,
			controller.Settings{
				Address:        host.name,
				HTTP:           host.name,
				Zone:           host.zone,
				Seeds:          world.scenario.founders(),
				Registered:     true,
				IsolationLimit: isolationLimit,
			},
			random,
		)
		return
	}
	if host.disk.state == nil {
		world.identities++
		host.disk.state = &wire.DurableState{Id: fmt.Sprintf("disk%d-%s", world.identities, host.name)}
	}
	founding := first && strings.Contains(strings.Join(world.scenario.founders(), " "), host.name)
	host.node = node.New(
		world.now,
		node.Settings{
			Address:  host.name,
			HTTP:     host.name,
			Zone:     host.zone,
			Seeds:    world.scenario.founders(),
			Founders: world.scenario.founders(),
			Founding: founding,
			Faults:   toleratedFaults,
		},
		host.disk.state,
		host.disk.records,
		random,
	)
}

// step runs one step of a host's state machine, collects its output and checks the properties. A frozen host defers the
// step; digest identifies what the step does.
func (world *world) step(host *host, incarnation int, digest uint64, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog,
			deferredStep{digest: digest, run: func() { world.step(host, incarnation, digest, do) }})
		return
	}
	do()
	world.collectOutput(host)
	world.checker.check(host)
}

// collectOutput takes the messages and writes that a host's state machine has produced.
func (world *world) collectOutput(host *host) {
	if !host.isControlNode {
		for _, outgoing := range host.controller.Ready() {
			world.transmit(host, outgoing)
		}
		return
	}
	outbox, writes := host.node.Ready()
	host.writes = append(host.writes, writes...)
	for _, outgoing := range outbox {
		world.checker.checkLearnResponse(host, outgoing.Envelope)
		world.transmit(host, outgoing)
	}
	if len(host.writes) > 0 && !world.exploresDisks() {
		incarnation := host.incarnation
		world.queue.add(func() {
			if host.up && host.incarnation == incarnation {
				world.sync(host)
			}
		})
	}
}

func (world *world) exploresDisks() bool { return world.scenario.Disks && !world.synchronous }

// transmit sends a message: it puts one of an explored kind in flight and delivers any other immediately.
func (world *world) transmit(from *host, outgoing statemachine.Message) {
	target := world.byName[outgoing.To]
	if target == nil || world.network.disconnected(from.name, target.name) {
		return
	}
	if !target.up {
		world.refuseConnection(from, target)
		return
	}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(outgoing.Envelope)
	if err != nil {
		panic(err)
	}
	sent := message{from: from.name, to: target.name, kind: kindOf(outgoing.Envelope), content: string(content)}
	sent.digest = digestOf(sent.from + ">" + sent.to + ":" + sent.content)
	if world.synchronous || !world.explored[sent.kind] || from == target {
		world.queue.add(func() { world.deliver(sent) })
		return
	}
	world.network.inFlight = append(world.network.inFlight, sent)
}

// kindOf returns the kind of an envelope's body, such as ChainForward.
func kindOf(envelope *wire.Envelope) string {
	if envelope.Body == nil {
		return ""
	}
	return strings.TrimPrefix(reflect.TypeOf(envelope.Body).Elem().Name(), "Envelope_")
}

// deliver delivers a message unless its receiver is down or cut off.
func (world *world) deliver(message message) {
	target := world.byName[message.to]
	if !target.up || world.network.disconnected(message.from, message.to) {
		return
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal([]byte(message.content), envelope); err != nil {
		panic(err)
	}
	world.step(target, target.incarnation, message.digest, func() {
		if target.isControlNode {
			target.node.Receive(world.now, envelope)
			return
		}
		target.controller.Receive(world.now, envelope)
	})
}

// refuseConnection notifies a host that another refused its connection, if the other machine has power.
func (world *world) refuseConnection(from, to *host) {
	if to.poweredOff {
		return
	}
	incarnation, tried := from.incarnation, world.now
	world.queue.add(func() {
		if to.up || world.network.disconnected(from.name, to.name) {
			return
		}
		world.step(from, incarnation, digestOf("refused "+to.name), func() {
			if from.isControlNode {
				from.node.ConnectionRefused(world.now, to.name, tried)
				return
			}
			from.controller.OnConnectionRefused(world.now, to.name, tried)
		})
	})
}

// sync completes all outstanding writes of a host's disk.
func (world *world) sync(host *host) {
	writes := host.writes
	host.writes = nil
	if len(writes) == 0 {
		return
	}
	for _, write := range writes {
		host.disk.apply(write)
	}
	last := writes[len(writes)-1].Sequence
	world.step(host, host.incarnation, last, func() { host.node.Synced(world.now, last) })
}

// tick advances the clock by one step and ticks every process that is not frozen.
func (world *world) tick() {
	world.now = world.now.Add(tickLength)
	for _, host := range world.hosts {
		if host.up && !host.frozen {
			world.step(host, host.incarnation, 0, func() { host.tick(world.now) })
			world.queue.run()
		}
	}
}

// wait advances the clock by a number of steps while every message is delivered and every write synced.
func (world *world) wait(steps int) {
	world.synchronous = true
	for range steps {
		world.tick()
		world.flush()
	}
	world.synchronous = false
}

// flush syncs all outstanding writes and delivers all messages in flight, in a fixed order, except at frozen hosts.
func (world *world) flush() {
	for _, host := range world.hosts {
		if host.up && !host.frozen {
			world.sync(host)
		}
	}
	inFlight := world.network.inFlight
	world.network.inFlight = nil
	for _, message := range inFlight {
		if world.byName[message.to].frozen {
			world.network.inFlight = append(world.network.inFlight, message)
			continue
		}
		world.deliver(message)
	}
	world.queue.run()
}

// stopProcess ends a process, by a loss of power or without; writes that are not synced are lost.
func (world *world) stopProcess(host *host, powerOff bool) {
	host.up, host.poweredOff, host.frozen, host.writes, host.backlog = false, powerOff, false, nil, nil
	host.node, host.controller = nil, nil
	world.network.drop(func(message message) bool { return message.to == host.name })
	if powerOff {
		return
	}
	// The operating system closes the connections of an ended process; its peers reconnect immediately and are refused.
	for _, other := range world.hosts {
		if other.up && !world.network.disconnected(other.name, host.name) {
			world.refuseConnection(other, host)
		}
	}
}

// leader returns the machine that leads at this moment, or nil.
func (world *world) leader() *host {
	for _, host := range world.hosts {
		if host.isControlNode && host.up && !host.frozen && host.node.IsLeading(world.now) {
			return host
		}
	}
	return nil
}

// fingerprint returns the digest of everything that determines what can happen next.
func (world *world) fingerprint() uint64 {
	hash, walker := digestSeed, newWalker(world.now)
	for _, host := range world.hosts {
		host.addToFingerprint(&hash, walker, world.now)
	}
	hash.addSorted(digestsOf(world.network.inFlight))
	hash.addSorted(digestsOf(world.network.delayed))
	hash.add(walker.walk(reflect.ValueOf(world.network.isolated)))
	hash.add(walker.walk(reflect.ValueOf(world.remaining)))
	hash.add(walker.walk(reflect.ValueOf(world.sent)))
	hash.add(uint64(world.identities))
	world.checker.addToFingerprint(&hash, walker)
	return uint64(hash)
}

// names returns the sorted names of the hosts for which a condition holds.
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
