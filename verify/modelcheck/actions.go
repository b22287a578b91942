package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"wardtray/wire"
)

// recoveryTicks is the maximum duration of the recovery from a blackout, in ticks.
const recoveryTicks = 150

func sortedKeys[Value any](of map[string]Value) []string { return slices.Sorted(maps.Keys(of)) }

// actions lists the possible actions, in a fixed order.
func (world *world) actions() []Action {
	if world.finished || world.checker.violation != "" {
		return nil
	}
	var actions []Action
	add := func(verb Verb, subject string) { actions = append(actions, Action{Verb: verb, Subject: subject}) }
	actions = append(actions, world.messageActions()...)
	for _, name := range world.names(func(host *host) bool { return host.up && !host.frozen && len(host.writes) > 0 }) {
		add(Sync, name)
	}
	for index, request := range world.scenario.Requests {
		via := world.byName[request.Via]
		if !world.sent[index] && (request.After < 0 || world.sent[request.After]) && via.up && !via.frozen {
			add(Send, strconv.Itoa(index))
		}
	}
	actions = append(actions, world.faultActions()...)
	// The clock advances only when nothing can be delivered or synced at this moment: only Hold and Freeze delay a
	// message.
	if world.quiescent() {
		add(Tick, "")
		if world.remaining[Wait] > 0 {
			add(Wait, "")
		}
	}
	return actions
}

// messageActions lists the actions on messages in flight or delayed. Of several equal messages it lists one.
func (world *world) messageActions() []Action {
	var actions []Action
	listed := map[uint64]bool{}
	for _, message := range world.network.inFlight {
		if listed[message.digest] || world.byName[message.to].frozen {
			continue
		}
		listed[message.digest] = true
		about := func(verb Verb) {
			actions = append(
				actions,
				Action{
					Verb:    verb,
					Subject: message.kind + ":" + message.from + ">" + message.to,
					Message: message.digest,
				},
			)
		}
		about(Deliver)
		if world.remaining[Drop] > 0 {
			about(Drop)
		}
		if world.remaining[Hold] > 0 {
			about(Hold)
		}
	}
	for _, message := range world.network.delayed {
		if !listed[message.digest] {
			listed[message.digest] = true
			actions = append(
				actions,
				Action{
					Verb:    Release,
					Subject: message.kind + ":" + message.from + ">" + message.to,
					Message: message.digest,
				},
			)
		}
	}
	return actions
}

// quiescent reports whether no message can be delivered and no write synced: all outstanding messages and writes are
// delayed by Hold or belong to a frozen machine.
func (world *world) quiescent() bool {
	for _, message := range world.network.inFlight {
		if !world.byName[message.to].frozen {
			return false
		}
	}
	return len(world.names(func(host *host) bool { return host.up && !host.frozen && len(host.writes) > 0 })) == 0
}

// faultActions lists the possible faults of machines and links, and the actions that end them.
func (world *world) faultActions() []Action {
	var actions []Action
	for _, name := range world.targets() {
		for _, verb := range []Verb{Kill, Crash, Wipe, Freeze, Leave} {
			if world.canFail(world.byName[name], verb) {
				actions = append(actions, Action{Verb: verb, Subject: name})
			}
		}
	}
	for _, host := range world.hosts {
		for _, verb := range []Verb{Start, Wake, Stop} {
			if recoveryConditions[verb](world, host) {
				actions = append(actions, Action{Verb: verb, Subject: host.name})
			}
		}
	}
	return append(append(actions, world.partitionActions()...), world.blackoutActions()...)
}

// canFail reports whether a kind of fault is possible at a host.
func (world *world) canFail(host *host, verb Verb) bool {
	if world.remaining[verb] == 0 || !host.up || host.frozen || verb == Leave && host.decommissioning {
		return false
	}
	return host.isControlNode || verb != Wipe && verb != Leave
}

// recoveryConditions report whether a host may be started, resumed or, once decommissioned, stopped.
var recoveryConditions = map[Verb]func(world *world, host *host) bool{
	Start: func(world *world, host *host) bool {
		return !host.up && !host.removed && (host.everStarted || world.remaining[Start] > 0)
	},
	Wake: func(_ *world, host *host) bool { return host.up && host.frozen },
	Stop: func(world *world, host *host) bool {
		return host.up && host.decommissioning && !host.frozen && host.node.IsDecommissioned(world.now)
	},
}

// partitionActions lists the possible cuts or, while there is one, its healing.
func (world *world) partitionActions() []Action {
	if world.network.isPartitioned() {
		return []Action{{Verb: Heal}}
	}
	if world.remaining[Cut] == 0 {
		return nil
	}
	var actions []Action
	for _, group := range world.scenario.Cuts {
		actions = append(actions, Action{Verb: Cut, Subject: strings.Join(group, ",")})
	}
	for _, link := range world.scenario.Links {
		actions = append(actions, Action{Verb: Cut, Subject: linkName(link[0], link[1])})
	}
	return actions
}

// targets lists the machines at which faults are possible.
func (world *world) targets() []string {
	targets := append([]string{}, world.scenario.Targets...)
	if leader := world.leader(); world.scenario.Leaders && leader != nil && !slices.Contains(targets, leader.name) {
		targets = append(targets, leader.name)
	}
	return targets
}

// blackoutActions lists the possible blackouts, one for each disk that may be lost, once a change has been
// acknowledged.
func (world *world) blackoutActions() []Action {
	if world.remaining[Blackout] == 0 || len(world.checker.accepted) == 0 && world.scenario.PriorChanges == 0 {
		return nil
	}
	if !world.toleratesDiskLoss() {
		return []Action{{Verb: Blackout}}
	}
	var actions []Action
	for _, name := range world.names(
		func(host *host) bool { return host.isControlNode && host.everStarted && !host.removed }) {
		actions = append(actions, Action{Verb: Blackout, Subject: name})
	}
	return actions
}

// toleratesDiskLoss reports whether the fleet must survive the loss of another disk: none was wiped, or each wiped one
// has been replaced in the leader's view. A decommissioned machine does not count as a loss.
func (world *world) toleratesDiskLoss() bool {
	if world.remaining[Wipe] == world.scenario.Budget[Wipe] {
		return true
	}
	leader := world.leader()
	if leader == nil || len(leader.node.View().Acceptors) < 2*toleratedFaults+1 {
		return false
	}
	live := map[string]bool{}
	for _, host := range world.hosts {
		if host.isControlNode && host.disk.state != nil && !host.removed {
			live[host.disk.state.Id] = true
		}
	}
	for _, member := range append(slices.Clone(leader.node.View().Chain), leader.node.View().Acceptors...) {
		if !live[member.Id] {
			return false
		}
	}
	return len(leader.node.View().Chain) >= toleratedFaults+1
}

// apply takes one action, or returns an error if it is not possible in this state.
func (world *world) apply(action Action) error {
	if !slices.Contains(world.actions(), action) {
		return fmt.Errorf("action %q is not possible in this state", action)
	}
	// A restart consumes no budget; only the first start of a blank machine does.
	if world.remaining[action.Verb] > 0 && !(action.Verb == Start && world.byName[action.Subject].everStarted) {
		world.remaining[action.Verb]--
	}
	if messageVerbs[action.Verb] {
		world.moveMessage(action)
	} else {
		actionHandlers[action.Verb](world, world.byName[action.Subject], action.Subject)
	}
	world.queue.run()
	return nil
}

func (world *world) moveMessage(action Action) {
	message := world.network.take(action.Verb, action.Message)
	if action.Verb == Deliver || action.Verb == Release {
		world.deliver(message)
	}
	if action.Verb == Hold {
		world.network.delayed = append(world.network.delayed, message)
	}
}

// actionHandlers carry out the actions that are not about a message; subject is the action's, host the machine of that
// name.
var actionHandlers = map[Verb]func(world *world, host *host, subject string){
	Sync:  func(world *world, host *host, _ string) { world.sync(host) },
	Tick:  func(world *world, _ *host, _ string) { world.tick() },
	Wait:  func(world *world, _ *host, _ string) { world.wait(ticksPerWait) },
	Send:  func(world *world, _ *host, subject string) { world.send(subject) },
	Kill:  func(world *world, host *host, _ string) { world.stopProcess(host, false) },
	Crash: func(world *world, host *host, _ string) { world.stopProcess(host, true) },
	Wipe: func(world *world, host *host, _ string) {
		world.stopProcess(host, true)
		host.disk = newDisk()
	},
	Start: func(world *world, host *host, _ string) {
		world.boot(host)
		world.step(host, host.incarnation, 0, func() { host.tick(world.now) })
	},
	Freeze: func(_ *world, host *host, _ string) { host.frozen = true },
	Wake:   func(_ *world, host *host, _ string) { host.resume() },
	Cut:    func(world *world, _ *host, subject string) { world.network.isolate(subject) },
	Heal:   func(world *world, _ *host, _ string) { world.network.heal() },
	Leave: func(world *world, host *host, _ string) {
		host.decommissioning = true
		world.step(host, host.incarnation, 0, func() { host.node.Decommission(world.now) })
	},
	Stop: func(world *world, host *host, _ string) {
		world.stopProcess(host, false)
		host.removed, host.disk = true, newDisk()
	},
	Blackout: func(world *world, host *host, _ string) { world.blackout(host) },
}

// send submits an operator's request; subject is its index in the scenario.
func (world *world) send(subject string) {
	index := 0
	if _, err := fmt.Sscan(subject, &index); err != nil {
		panic(err)
	}
	request := world.scenario.Requests[index]
	world.sent[index] = true
	world.checker.epochAtRequest[index] = world.checker.acknowledged()
	host := world.byName[request.Via]
	world.step(host, host.incarnation, 0, func() {
		host.node.Submit(world.now, request.message(),
			func(status int, body []byte) { world.checker.checkResponse(index, status, body) })
	})
}

// message returns the wire message of a request.
func (request Request) message() *wire.OperatorRequest {
	if request.Verb == "get" {
		return &wire.OperatorRequest{Verb: "get"}
	}
	spec := fmt.Sprintf(
		`{"zones":[],"pools":[{"name":"p","services":["s"]}],`+
			`"lanes":[{"name":%q,"pool":"p","patience":"1s","repeatable":false}]}`,
		request.Operation,
	)
	return &wire.OperatorRequest{
		Verb:      request.Verb,
		Operation: request.Operation,
		Base:      request.Base,
		HasBase:   true,
		Spec:      []byte(spec),
	}
}

// blackout powers all machines off, blanks the disk of one, and starts all again. Within recoveryTicks a machine must
// lead with every acknowledged change.
func (world *world) blackout(lost *host) {
	world.finished = true
	world.network.heal()
	for _, host := range world.hosts {
		world.stopProcess(host, true)
	}
	world.queue.clear()
	if lost != nil {
		lost.disk = newDisk()
	}
	world.synchronous = true
	for _, host := range world.hosts {
		if host.everStarted && !host.removed {
			world.boot(host)
		}
	}
	for range recoveryTicks {
		world.tick()
		world.flush()
		if leader := world.leader(); leader != nil &&
			leader.node.Chain().Committed().SpecEpoch >= world.checker.acknowledged() ||
			world.checker.violation != "" {
			return
		}
	}
	world.checker.fail("P3", "no machine leads with epoch %d, %v after all lost power and %s lost its disk",
		world.checker.acknowledged(), recoveryTicks*tickLength, lost.nameOrNobody())
}

// settleTime is the time for which a prepared fleet runs before a search begins. It is no shorter than startupTime, so
// that daemons count as reaching the control machines.
const settleTime = 2 * time.Second
