package modelcheck

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// prepared is a founded fleet: what its disks hold.
type prepared struct {
	scenario *Scenario
	states   map[string]*wire.DurableState
	// identities is how many identities were given to disks so far.
	identities int
}

// prepareBound bounds for how long the preparation of a fleet may take.
const prepareBound = 20 * time.Second

// prepare founds a fleet, brings its daemons into the directory and has its first changes acknowledged.
func prepare(scenario *Scenario) (*prepared, error) {
	world := newWorld(scenario)
	for _, host := range world.hosts[:scenario.Founders] {
		world.boot(host)
	}
	for _, host := range world.hosts[scenario.Cores:] {
		world.boot(host)
	}
	if err := world.runUntil(func() bool { return world.leader() != nil && world.allServe() }); err != nil {
		return nil, fmt.Errorf("preparing %s: nobody leads", scenario.Name)
	}
	for _, host := range world.hosts[scenario.Founders:scenario.Members] {
		world.boot(host)
	}
	if err := world.runUntil(func() bool {
		leader := world.leader()
		return leader != nil && len(leader.node.View().Chain) == scenario.Members
	}); err != nil {
		return nil, fmt.Errorf("preparing %s: not all have joined", scenario.Name)
	}
	// The search begins with what was acknowledged here, but counts none of it as its own.
	requests := scenario.Requests
	defer func() { scenario.Requests = requests }()
	for epoch := range scenario.PriorChanges + 1 {
		if epoch == 1 && scenario.Absent != "" {
			world.stopProcess(world.byName[scenario.Absent], true)
		}
		scenario.Requests = []Request{
			{Verb: "apply", Operation: fmt.Sprintf("first%d", epoch), Base: uint64(epoch), Via: coreName(0), After: -1},
		}
		world.sent, world.checker.responded = []bool{false}, map[int]bool{}
		if err := world.runUntil(func() bool { return world.leader() != nil && world.allServe() }); err != nil {
			return nil, fmt.Errorf("preparing %s: nobody leads", scenario.Name)
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
		if host.core && host.everStarted {
			host.disk.compact()
			states[host.name] = host.disk.state
		}
	}
	return &prepared{scenario: scenario, states: states, identities: world.identities}, nil
}

func (world *world) runUntil(done func() bool) error {
	for end := world.now.Add(prepareBound); world.now.Before(end); {
		if done() {
			return nil
		}
		world.tick()
		world.flush()
	}
	return fmt.Errorf("not within %v", prepareBound)
}

// allServe reports whether every daemon may award work.
func (world *world) allServe() bool {
	for _, host := range world.hosts {
		if !host.core && host.up && !world.now.Before(host.controller.Until(world.now)) {
			return false
		}
	}
	return true
}

// start returns the state from which a search begins: the prepared fleet, started anew and in full order.
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
		if host.name != scenario.Absent && (state != nil || !host.core) {
			world.boot(host)
		}
	}
	world.wait(int(settleTime / tickLength))
	return world
}
