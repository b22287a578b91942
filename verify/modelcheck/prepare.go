package modelcheck

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// prepared holds the disk contents of a founded fleet, from which each run of a search starts.
type prepared struct {
	scenario *Scenario
	states   map[string]*wire.DurableState
	// identities is the number of disk identities assigned so far.
	identities int
}

// prepareTimeout bounds each phase of the preparation of a fleet, in the model's time.
const prepareTimeout = 20 * time.Second

// prepare founds a fleet, adds its daemons and further members, and applies the prior changes.
func prepare(scenario *Scenario) (*prepared, error) {
	world := newWorld(scenario)
	for _, host := range world.hosts[:scenario.Founders] {
		world.boot(host)
	}
	for _, host := range world.hosts[scenario.ControlNodes:] {
		world.boot(host)
	}
	if err := world.runUntil(func() bool { return world.leader() != nil && world.allServe() }); err != nil {
		return nil, fmt.Errorf("preparing %s: no machine leads, or not all daemons serve", scenario.Name)
	}
	for _, host := range world.hosts[scenario.Founders:scenario.Members] {
		world.boot(host)
	}
	if err := world.runUntil(func() bool {
		leader := world.leader()
		return leader != nil && len(leader.node.View().Chain) == scenario.Members
	}); err != nil {
		return nil, fmt.Errorf("preparing %s: not all members have joined", scenario.Name)
	}
	// The search begins with the changes acknowledged here, but none of them is a request of the scenario.
	requests := scenario.Requests
	defer func() { scenario.Requests = requests }()
	for epoch := range scenario.PriorChanges + 1 {
		if epoch == 1 && scenario.Absent != "" {
			world.stopProcess(world.byName[scenario.Absent], true)
		}
		scenario.Requests = []Request{
			{Verb: "apply", Operation: fmt.Sprintf("first%d", epoch), Base: uint64(epoch), Via: controlNodeName(0), After: -1},
		}
		world.sent, world.checker.responded = []bool{false}, map[int]bool{}
		if err := world.runUntil(func() bool { return world.leader() != nil && world.allServe() }); err != nil {
			return nil, fmt.Errorf("preparing %s: no machine leads, or not all daemons serve", scenario.Name)
		}
		world.send("0")
		if err := world.runUntil(func() bool { return len(world.checker.accepted) == epoch+1 }); err != nil {
			return nil, fmt.Errorf("preparing %s: change %d is not acknowledged: %s", scenario.Name, epoch,
				world.checker.violation)
		}
	}
	world.wait(int(settleTime / tickLength))
	states := map[string]*wire.DurableState{}
	for _, host := range world.hosts {
		if host.isControlNode && host.everStarted {
			host.disk.compact()
			states[host.name] = host.disk.state
		}
	}
	return &prepared{scenario: scenario, states: states, identities: world.identities}, nil
}

func (world *world) runUntil(done func() bool) error {
	for end := world.now.Add(prepareTimeout); world.now.Before(end); {
		if done() {
			return nil
		}
		world.tick()
		world.flush()
	}
	return fmt.Errorf("not within %v", prepareTimeout)
}

// allServe reports whether every daemon may assign work.
func (world *world) allServe() bool {
	for _, host := range world.hosts {
		if !host.isControlNode && host.up && !world.now.Before(host.controller.Until(world.now)) {
			return false
		}
	}
	return true
}

// start returns the initial state of a search: the prepared fleet, restarted and settled.
func (prepared *prepared) start() *world {
	scenario := prepared.scenario
	world := newWorld(scenario)
	world.identities, world.checker.acknowledgedBefore = prepared.identities, uint64(scenario.PriorChanges)+1
	for _, host := range world.hosts {
		state := prepared.states[host.name]
		if state != nil {
			host.everStarted = true
			host.disk.state = proto.CloneOf(state)
			host.disk.compact()
			host.disk.digest.add(messageDigest(state))
		}
		host.poweredOff = true
		if host.name != scenario.Absent && (state != nil || !host.isControlNode) {
			world.boot(host)
		}
	}
	world.wait(int(settleTime / tickLength))
	return world
}
