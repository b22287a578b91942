// Package election decides which process does a task that one is enough for: the first live one in an
// order that all agree on. Results carry an epoch, and nobody takes a result below the greatest
// epoch seen; so two holders at once do no harm and the older one falls silent.
package election

import "time"

// Bound is how long a process may be silent before the next in order takes over.
const Bound = 1500 * time.Millisecond

// Duty is one process's opinion of one task.
type Duty struct {
	self   string
	begun  time.Time
	order  []string
	heard  map[string]time.Time
	epoch  uint64
	writer string
	mine   bool
}

// New makes an opinion in which nobody has been heard yet.
func New(now time.Time, self string) *Duty {
	return &Duty{self: self, begun: now, heard: map[string]time.Time{}}
}

// Order sets the agreed order.
func (duty *Duty) Order(order []string) { duty.order = order }

// Heard notes a sign of life.
func (duty *Duty) Heard(now time.Time, id string) {
	if len(duty.heard) < 1024 || !duty.heard[id].IsZero() {
		duty.heard[id] = now
	}
}

// Candidate tells whether this process should give signs of life: it is among the first of the
// order that seem alive.
func (duty *Duty) Candidate(now time.Time, count int) bool {
	for _, id := range duty.order {
		if id == duty.self {
			return true
		}
		if duty.alive(now, id) {
			count--
		}
		if count == 0 {
			return false
		}
	}
	return false
}

func (duty *Duty) alive(now time.Time, id string) bool {
	return id == duty.self || now.Sub(duty.heard[id]) < Bound
}

// Mine tells whether this process holds the duty now, and under which epoch.
func (duty *Duty) Mine(now time.Time) (epoch uint64, mine bool) {
	holder := duty.self
	if len(duty.order) > 0 {
		holder = ""
	}
	for _, id := range duty.order {
		if duty.alive(now, id) {
			holder = id
			break
		}
	}
	// A process that has just begun has heard nobody; it waits one bound before it takes anything over.
	if holder != duty.self || now.Sub(duty.begun) < Bound && len(duty.order) > 0 && duty.order[0] != duty.self {
		duty.mine = false
		return 0, false
	}
	// Whoever takes over goes above every epoch seen, and so does a holder that saw another's greater one.
	if !duty.mine || duty.writer != duty.self {
		duty.mine = true
		duty.epoch++
		duty.writer = duty.self
	}
	return duty.epoch, true
}

// Take tells whether a result may be used, and remembers its epoch.
func (duty *Duty) Take(epoch uint64, writer string) bool {
	if epoch < duty.epoch || epoch == duty.epoch && writer < duty.writer {
		return false
	}
	duty.epoch, duty.writer = epoch, writer
	return true
}
