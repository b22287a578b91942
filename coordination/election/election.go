// Package election decides which process does a task that one is enough for: the first live one in an
// order that all agree on. Results carry an epoch, and nobody takes a result below the greatest
// epoch seen; so two holders at once do no harm and the older one falls silent.
package election

import "time"

// Bound is how long a process may be silent before the next in order takes over.
const Bound = 1500 * time.Millisecond

// Election is one process's opinion of one task.
type Election struct {
	self    string
	started time.Time
	order   []string
	heard   map[string]time.Time
	epoch   uint64
	writer  string
	mine    bool
}

// New makes an opinion in which nobody has been heard yet.
func New(now time.Time, self string) *Election {
	return &Election{self: self, started: now, heard: map[string]time.Time{}}
}

// Order sets the agreed order.
func (election *Election) Order(order []string) { election.order = order }

// Heard notes a sign of life.
func (election *Election) Heard(now time.Time, id string) {
	if len(election.heard) < 1024 || !election.heard[id].IsZero() {
		election.heard[id] = now
	}
}

// Candidate tells whether this process should give signs of life: it is among the first of the
// order that seem alive.
func (election *Election) Candidate(now time.Time, count int) bool {
	for _, id := range election.order {
		if id == election.self {
			return true
		}
		if election.alive(now, id) {
			count--
		}
		if count == 0 {
			return false
		}
	}
	return false
}

func (election *Election) alive(now time.Time, id string) bool {
	return id == election.self || now.Sub(election.heard[id]) < Bound
}

// Mine tells whether this process holds the duty now, and under which epoch.
func (election *Election) Mine(now time.Time) (epoch uint64, mine bool) {
	holder := election.self
	if len(election.order) > 0 {
		holder = ""
	}
	for _, id := range election.order {
		if election.alive(now, id) {
			holder = id
			break
		}
	}
	// A process that has just begun has heard nobody; it waits one bound before it takes anything over.
	if holder != election.self || now.Sub(election.started) < Bound && len(election.order) > 0 && election.order[0] != election.self {
		election.mine = false
		return 0, false
	}
	// Whoever takes over goes above every epoch seen, and so does a holder that saw another's greater one.
	if !election.mine || election.writer != election.self {
		election.mine = true
		election.epoch++
		election.writer = election.self
	}
	return election.epoch, true
}

// Take tells whether a result may be used, and remembers its epoch.
func (election *Election) Take(epoch uint64, writer string) bool {
	if epoch < election.epoch || epoch == election.epoch && writer < election.writer {
		return false
	}
	election.epoch, election.writer = epoch, writer
	return true
}
