package histories

import (
	"sync"
	"time"
)

// History is the record of everything observed in one run of a fleet.
type History struct {
	mutex   sync.Mutex
	Started time.Time
	Zones   []string
	// Service and Weights are the service and the model weights of the backend's runners.
	Service, Weights string
	// Daemons is the number of data daemons.
	Daemons int
	// ZoneOf maps each daemon to its zone.
	ZoneOf  map[string]string
	Runs    []*Run
	Answers []*ClientAttempt
	Orders  []*OperatorRequest
	Drains  []*Drain
	Faults  []Fault
	// Isolations are the periods in which daemons had no path to the control machines. Only the simulator records them.
	Isolations      []*Isolation
	OutageEnds      []OutageEnd
	CapacitySamples []CapacitySample
	Final           Final
}

// New returns an empty history that starts now.
func New() *History { return &History{Started: time.Now()} }

// Change runs a function under the history's lock.
func (history *History) Change(change func(history *History)) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	change(history)
}
