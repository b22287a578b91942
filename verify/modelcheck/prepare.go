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
	memories map[string]*wire.DurableState
	// identity is how many identities were given to disks so far.
	identity int
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
	if err := world.runUntil(func() bool { return world.leader() != nil && world.allAward() }); err != nil {
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
	questions := scenario.Sends
	defer func() { scenario.Sends = questions }()
	for epoch := range scenario.Before + 1 {
		if epoch == 1 && scenario.Absent != "" {
			world.end(world.byName[scenario.Absent], true)
		}
		scenario.Sends = []Question{{Verb: "apply", Operation: fmt.Sprintf("first%d", epoch), Base: uint64(epoch), Via: coreName(0), After: -1}}
		world.sent, world.judge.answered = []bool{false}, map[int]bool{}
		if err := world.runUntil(func() bool { return world.leader() != nil && world.allAward() }); err != nil {
			return nil, fmt.Errorf("preparing %s: nobody leads", scenario.Name)
		}
		world.send("0")
		if err := world.runUntil(func() bool { return len(world.judge.accepted) == epoch+1 }); err != nil {
			return nil, fmt.Errorf("preparing %s: change %d is not acknowledged: %s", scenario.Name, epoch, world.judge.broken)
		}
	}
	world.wait(int(settled / step))
	memories := map[string]*wire.DurableState{}
	for _, host := range world.hosts {
		if host.core && host.ran {
			host.disk.shorten()
			memories[host.name] = host.disk.memory
		}
	}
	return &prepared{scenario: scenario, memories: memories, identity: world.identity}, nil
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

// allAward tells whether every daemon may award work.
func (world *world) allAward() bool {
	for _, host := range world.hosts {
		if !host.core && host.up && !world.now.Before(host.machine.Until(world.now)) {
			return false
		}
	}
	return true
}

// begin gives the state from which a search begins: the prepared fleet, started anew and in full order.
func (prepared *prepared) begin() *world {
	scenario := prepared.scenario
	world := newWorld(scenario)
	world.identity, world.judge.before = prepared.identity, uint64(scenario.Before)+1
	for _, host := range world.hosts {
		memory := prepared.memories[host.name]
		if memory != nil {
			host.ran = true
			host.disk.memory = proto.Clone(memory).(*wire.DurableState)
			host.disk.shorten()
			host.disk.digest.add(messageDigest(memory))
		}
		host.dark = true
		if host.name != scenario.Absent && (memory != nil || !host.core) {
			world.boot(host)
		}
	}
	world.wait(int(settled / step))
	return world
}
