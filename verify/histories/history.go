package histories

import (
	"sync"
	"time"
)

// History is everything.
type History struct {
	mutex   sync.Mutex
	Started time.Time
	Zones   []string
	// Service and Weights are those of the backend's runners.
	Service, Weights string
	// Daemons is how many there are.
	Daemons int
	// ZoneOf is the zone of each daemon.
	ZoneOf  map[string]string
	Runs    []*Run
	Answers []*Answer
	Orders  []*Order
	Drains  []*Drain
	Faults  []Fault
	// Isolations are the times in which daemons had no path to the core, where the simulator tells of them.
	Isolations      []*Isolation
	Returns         []Return
	CapacitySamples []CapacitySample
	Final           Final
}

// New begins a history.
func New() *History { return &History{Started: time.Now()} }

// Change runs under the history's lock.
func (history *History) Change(change func(history *History)) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	change(history)
}
