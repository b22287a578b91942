package modelcheck

import "time"

// Scenario defines one search: the fleet, the operators' requests, the kinds of messages whose orders are explored, and
// the number of faults of each kind in one run.
type Scenario struct {
	Name string
	Help string
	// ControlNodes is the number of control machines. The first Founders of them found the fleet, the first Members are
	// in it when the search begins, the others are blank and off. Daemons is the number of data daemons.
	ControlNodes int
	Founders     int
	Members      int
	Daemons      int
	// Absent names a control machine that was off while the last PriorChanges changes of the preparation were committed;
	// "" for none.
	Absent       string
	PriorChanges int
	// Requests are the operators' requests; each is sent at most once, at any moment.
	Requests []Request
	// ExploredKinds are the kinds of messages whose orders are explored. All others are delivered immediately, in the
	// order in which they were sent. Disks reports whether the moments at which writes are synced are explored as well;
	// otherwise they are synced immediately.
	ExploredKinds []string
	Disks         bool
	// Budget is the maximum number of actions of each verb in one run; 0 permits none. Deliver, Release, Sync, Tick,
	// Heal, Wake, Stop and Send need no budget, nor does Start except for the first start of a blank control machine.
	Budget map[Verb]int
	// Cuts are the groups that may be isolated from all other machines, Links the pairs whose link may be cut. There is
	// one cut at a time. Targets are the machines at which the other faults may occur.
	Cuts    [][]string
	Links   [][2]string
	Targets []string
	// Leaders adds the current leader to Targets.
	Leaders bool
	// Depth is the default maximum number of actions of one run, States the default number of states of a search.
	Depth  int
	States int
}

// Request is an operator's request.
type Request struct {
	Verb string
	// Operation and Base are those of a change. The prepared fleet is at epoch 1 plus PriorChanges.
	Operation string
	Base      uint64
	// Via is the control machine to which the request is sent.
	Via string
	// After is the index of a request that must have been sent before; -1 for none.
	After int
}

const (
	// tickLength is the duration of one Tick; one Wait is ticksPerWait of them.
	tickLength   = 100 * time.Millisecond
	ticksPerWait = 8
	// startupTime is the time after its start in which a control machine can't know whether there is a head.
	startupTime = 2 * time.Second
	// isolationLimit is the time for which a daemon that reaches no control machine continues to serve, as in the product.
	isolationLimit = 5 * time.Minute
	// toleratedFaults is the number of disks that may be lost at the same time.
	toleratedFaults = 1
)

// founders returns the names of the control machines that found the fleet.
func (scenario *Scenario) founders() []string {
	names := make([]string, 0, scenario.Founders)
	for number := range scenario.Founders {
		names = append(names, controlNodeName(number))
	}
	return names
}
