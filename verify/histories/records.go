package histories

import (
	"time"

	"wardtray/config"
)

// Run is one request that a runner read.
type Run struct {
	// At is when the request reached the runner's machine.
	At      time.Time
	Request string
	Route   string
	Pool    string
	Model   string
	Weights string
	Runner  string
	// Wanted is the runner that the daemon meant.
	Wanted  string
	Service string
	Zone    string
	Daemon  string
	Epoch   uint64
	// Started is false where the runner put the request back.
	Started bool
	// Sent is when its daemon sent the request, where that is known, and Canceled when the daemon let go of the run,
	// or at the latest when the end of its connection reached the runner; zero where that did not happen while the run
	// went on.
	Sent, Canceled time.Time
	// Finished is when the run was over; Complete means that its last event went out, after Events others.
	Finished time.Time
	Complete bool
	Events   int
	// Name is what its events call it; After is the id of the event behind which it began.
	Name  string
	After int
	// Concurrent is how much other work the runner had when this came; WarmingUp means that it was still slow
	// after its start, and Capacity is how much it could truly do at once then.
	Concurrent int
	WarmingUp  bool
	Capacity   int
}

// Answer is what a client got.
type Answer struct {
	Request       string
	Route         string
	Once          bool
	LatencyTarget time.Duration
	Daemon        string
	Zone          string
	Sent, Got     time.Time
	First         time.Duration
	Status        int
	Kind          string
	Detail        string
	Ran           string
	RetryAfter    bool
	// IDs and Runs are the ids of the events and the runs that they name.
	IDs  []int
	Runs []string
	// Done means that the last event was a done event; Error that it was an error event.
	Done, Error bool
	// ConnectionLost means that the connection broke without an answer; RequestSent that the request had been sent.
	ConnectionLost, RequestSent bool
	// HungUp means that the client itself hung up, and HungUpAt when its close reached the machine of its daemon.
	HungUp   bool
	HungUpAt time.Time
	// Cancels means that a run on the request's route is to end when its client leaves.
	Cancels bool
	// Resent means that the same request had been sent before, Undeclared that its client did not say whether it had.
	Resent, Undeclared bool
	// MinorityLeft means that some control machines ran when the answer came, but not most, or that most could not reach
	// each other, or that this had ended a moment before.
	MinorityLeft bool
	// Attempt is the number of the sending, as its client states it; 0: it states none.
	Attempt int
	// Resumable means that its stream may go on at another runner; Head is the runner that its head names.
	Resumable bool
	Head      string
	// Last is when the last event came. Started is when the daemon had the whole request, and Bound how long after
	// that it may be held; 0: as long as it takes.
	Last, Started time.Time
	Bound         time.Duration
}

// Words of an operator's change, as the interface has them.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"

	verbApply     = "apply"
	verbChange    = "change"
	verbClose     = "close"
	verbGet       = "get"
	verbOperation = "operation"
)

// Order is one operator's change.
type Order struct {
	Operation string
	Verb      string
	Zone      string
	Base      uint64
	HasBase   bool
	// Marker is a route that only this order's spec has.
	Marker string
	// Spec is the whole document of an apply, Change that of a change of named entries.
	Spec       *config.Spec
	Change     *config.Change
	Sent, Got  time.Time
	Outcome    string
	Epoch      uint64
	HTTPStatus int
}

// Drain means that the platform began to list a runner as draining, or no longer. Back is when it
// listed the runner as before, if it did; one that drained never comes back under its identity.
type Drain struct {
	At, Back time.Time
	Runner   string
	Drained  bool
}

// Fault is something that was done to the fleet. It excuses only what it touched.
type Fault struct {
	At, Until time.Time
	What      string
	// Daemon is the HTTP address of the data daemon that it touched, Runner the id of the runner.
	Daemon, Runner string
	// Kills means that work under way at the daemon may be lost.
	Kills bool
	// Knowable is how long after its begin the others can know of it.
	Knowable time.Duration
}

// Isolation means that a daemon had no path to the core in a time. Until is when it must have learned what it missed,
// or serve no more.
type Isolation struct {
	Daemon      string
	From, Until time.Time
}

// Return means that all machines were back after a time of being down.
type Return struct{ At time.Time }

// CapacitySample is how the backend truly was at a moment: the slots, and those free, of the runners of each zone
// that are well, listed and warm.
type CapacitySample struct {
	At    time.Time
	Free  map[string]int
	Slots map[string]int
}

// Final is what the fleet said at the end.
type Final struct {
	Epoch   uint64
	Routes  []string
	Known   map[string]uint64
	Missing []string
	Asked   bool
}
