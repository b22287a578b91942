// Package election elects one process to execute a task: the first live process in an order that all agree on. There is
// no exclusive lease. Instead results carry an epoch as a fencing token, and no process accepts a result below the
// greatest epoch that it has accepted. Two concurrent leaders are therefore harmless: the results of the older one are
// ignored.
//
// # Contract
//
// An Election is the state of one process for one task. Its caller sets the order by Election.SetOrder whenever it
// changes, calls Election.Observe for each heartbeat of another process, and sends heartbeats itself while
// Election.IsCandidate is true. Before it executes the task it calls Election.Campaign, and it sends the epoch with
// each result. A receiver uses a result only if Election.Accept accepts it.
//
// Processes may crash, freeze and be partitioned, and messages may be lost, repeated and reordered. No process ever
// accepts an epoch below one that it has accepted, under any of these faults. Once all live processes agree on the
// order and receive each other's heartbeats, exactly the first of them leads. An Election reads no clock and is not
// safe for concurrent use.
package election

import "time"

// LeaderTimeout is the time without a heartbeat after which a process counts as dead and the next in the order takes
// over.
const LeaderTimeout = 1500 * time.Millisecond

// maximumProcesses is the maximum number of processes whose heartbeats are tracked.
const maximumProcesses = 1024

// Election is the state of one process in the election for one task.
type Election struct {
	self      string
	startedAt time.Time
	order     []string
	lastSeen  map[string]time.Time
	// epoch and writer are the greatest pair, by epoch and then by writer, that this process accepted or leads under.
	epoch  uint64
	writer string
	// leading reports whether this process was the leader at the last call of Campaign.
	leading bool
}

// New returns the state of a process that starts now and has observed no heartbeat yet.
func New(now time.Time, self string) *Election {
	return &Election{self: self, startedAt: now, lastSeen: map[string]time.Time{}}
}

// SetOrder sets the agreed order of the processes. Without an order, each process leads.
func (election *Election) SetOrder(order []string) { election.order = order }

// Observe records a heartbeat of a process.
func (election *Election) Observe(now time.Time, id string) {
	if len(election.lastSeen) < maximumProcesses || !election.lastSeen[id].IsZero() {
		election.lastSeen[id] = now
	}
}

// IsCandidate reports whether this process should send heartbeats: it is among the first count live processes of the
// order.
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

// isAlive reports whether a process is this one or has sent a heartbeat within LeaderTimeout.
func (election *Election) isAlive(now time.Time, id string) bool {
	return id == election.self || now.Sub(election.lastSeen[id]) < LeaderTimeout
}

// Campaign makes this process the leader if it is the first live one of the order. It reports whether this process
// leads, and under which epoch; the epoch is 0 if it does not lead.
func (election *Election) Campaign(now time.Time) (epoch uint64, leading bool) {
	if !election.isLeader(now) {
		election.leading = false
		return 0, false
	}
	// A new leader uses an epoch above every epoch that it has accepted, and so does a leader that has accepted a result
	// of another.
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
	// A process that has just started has observed no heartbeats; it waits for LeaderTimeout before it takes over.
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

// Accept reports whether a result of a writer may be used, and if so records its epoch and writer. Of two writers with
// the same epoch the one with the greater id wins.
func (election *Election) Accept(epoch uint64, writer string) bool {
	if epoch < election.epoch || epoch == election.epoch && writer < election.writer {
		return false
	}
	election.epoch, election.writer = epoch, writer
	return true
}
