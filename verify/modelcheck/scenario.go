package modelcheck

import "time"

// Scenario is one search: a fleet, what operators send, which messages are explored in every order, and how often each
// kind of harm may come in one run.
type Scenario struct {
	Name string
	Help string
	// Cores are the machines with a disk. The first Founders of them found the fleet, those up to Members have joined
	// it before the search, the others are blank and off.
	Cores    int
	Founders int
	Members  int
	Daemons  int
	// Absent is a core that was off while Before further changes were committed, or "".
	Absent       string
	PriorChanges int
	// Requests are the operators' questions; each is sent at most once, at any moment.
	Requests []Request
	// ExploredKinds are the kinds of messages whose orders are explored. All others are delivered at once, in the
	// order in which they were sent. Disks means that the moments at which writes are synced are explored as well.
	ExploredKinds []string
	Disks         bool
	// Budget is how often each verb may be taken in one run; 0 stands for never. Deliver, Release, Sync, Tick, Heal,
	// Wake, Stop and Send need none. Starts need none either, but for cores that never ran.
	Budget map[Verb]int
	// Cuts are the groups that may be cut off from everybody else, Links the pairs that may lose each other alone. One
	// cut lasts until it is healed. Targets are whom the other harm may come to.
	Cuts    [][]string
	Links   [][2]string
	Targets []string
	// Leaders means that Targets is not fixed but the machine that leads at the moment, besides those of Targets.
	Leaders bool
	// Depth is how many actions one run takes at most, States how many states CI looks at.
	Depth  int
	States int
}

// Request is what an operator sends.
type Request struct {
	Verb string
	// Operation and Base are those of a change. The prepared fleet is at epoch 1 plus Before.
	Operation string
	Base      uint64
	// Via is the core that is asked.
	Via string
	// After names a question, by its place, that must have been sent before; -1 for none.
	After int
}

const (
	// tickLength is how long one tick takes, ticksPerWait how many of them one Wait is.
	tickLength   = 100 * time.Millisecond
	ticksPerWait = 8
	// startupTime is for how long after its start a machine can't tell daemons whether there is a head.
	startupTime = 2 * time.Second
	// withoutCore is for how long a daemon that reaches no core machine goes on, as in the product.
	withoutCore = 5 * time.Minute
	// toleratedFaults is how many disks may be lost at once.
	toleratedFaults = 1
)

// founders names the core machines that found the fleet.
func (scenario *Scenario) founders() []string {
	names := make([]string, 0, scenario.Founders)
	for number := range scenario.Founders {
		names = append(names, coreName(number))
	}
	return names
}
