// Package election elects the process that does a task which one process is enough for: the first
// live one in an order that all agree on. There is no exclusive lease. Instead results carry an
// epoch as a fencing token, and nobody accepts a result below the greatest epoch accepted; so two
// leaders at once do no harm, and the older one's results are ignored.
//
// # Contract
//
// An Election is one process's part, for one task. Its caller sets the order by Election.SetOrder
// whenever it changes, calls Election.Observe for each sign of life of another process, and gives
// signs of life itself while it is an Election.IsCandidate. Before the task is done it asks
// Election.Leading, and sends the epoch with each result; whoever receives a result uses it only if
// Election.Accept accepts it.
//
// Processes may crash, freeze and be cut off, and messages may be lost, repeated and reordered. No
// process ever accepts an epoch below one that it has accepted, whatever happens. Once all live
// processes agree on the order and hear each other, exactly the first of them leads. An Election
// reads no clock and is not safe for concurrent use.
package election

import "time"

// LeaderTimeout is how long a process may be silent before the next in the order takes over.
const LeaderTimeout = 1500 * time.Millisecond

// maximumProcesses bounds the processes whose signs of life are remembered.
const maximumProcesses = 1024

// Election is one process's part in the election for one task.
type Election struct {
	self      string
	startedAt time.Time
	order     []string
	lastSeen  map[string]time.Time
	// epoch and writer are the greatest that were accepted, or that this process leads under.
	epoch  uint64
	writer string
	// leading is whether this process was the leader when last asked.
	leading bool
}

// New returns the part of a process that has heard nobody yet.
func New(now time.Time, self string) *Election {
	return &Election{self: self, startedAt: now, lastSeen: map[string]time.Time{}}
}

// SetOrder sets the agreed order. Without one, each process leads.
func (election *Election) SetOrder(order []string) { election.order = order }

// Observe records a sign of life of a process.
func (election *Election) Observe(now time.Time, id string) {
	if len(election.lastSeen) < maximumProcesses || !election.lastSeen[id].IsZero() {
		election.lastSeen[id] = now
	}
}

// IsCandidate reports whether this process should give signs of life: it is among the first count of
// the order that seem alive.
func (election *Election) IsCandidate(now time.Time, count int) bool {
	for _, id := range election.order {
		if id == election.self {
			return true
		}
		if election.isAlive(now, id) {
			count--
		}
		if count == 0 {
			return false
		}
	}
	return false
}

func (election *Election) isAlive(now time.Time, id string) bool {
	return id == election.self || now.Sub(election.lastSeen[id]) < LeaderTimeout
}

// Campaign takes the lead if this process is the first live one of the order. It reports whether this process leads
// now, and under which epoch; 0 where it does not.
func (election *Election) Campaign(now time.Time) (epoch uint64, mine bool) {
	if !election.isLeader(now) {
		election.leading = false
		return 0, false
	}
	// Whoever takes over goes above every epoch seen, and so does a leader that saw another's greater one.
	if !election.leading || election.writer != election.self {
		election.leading = true
		election.epoch++
		election.writer = election.self
	}
	return election.epoch, true
}

// isLeader reports whether this process is the first live one of the order.
func (election *Election) isLeader(now time.Time) bool {
	if len(election.order) == 0 || election.order[0] == election.self {
		return true
	}
	// A process that has just started has heard nobody; it waits for one bound before it takes
	// anything over.
	if now.Sub(election.startedAt) < LeaderTimeout {
		return false
	}
	for _, id := range election.order {
		if election.isAlive(now, id) {
			return id == election.self
		}
	}
	return false
}

// Accept reports whether a result of a writer may be used, and if so remembers its epoch.
func (election *Election) Accept(epoch uint64, writer string) bool {
	if epoch < election.epoch || epoch == election.epoch && writer < election.writer {
		return false
	}
	election.epoch, election.writer = epoch, writer
	return true
}
