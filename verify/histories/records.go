package histories

import (
	"time"

	"wardtray/config"
)

// Run is one arrival of a request at a runner.
type Run struct {
	// At is the time at which the request reached the runner's machine.
	At      time.Time
	Request string
	Route   string
	Backend string
	Model   string
	Weights string
	Runner  string
	// IntendedRunner is the runner that the daemon intended.
	IntendedRunner string
	Service        string
	Zone           string
	Daemon         string
	Epoch          uint64
	// Started reports whether the runner executed the request; false if it rejected it.
	Started bool
	// Sent is the time at which the daemon sent the request, zero if not known. Canceled is the time at which the daemon
	// cancelled the run, at the latest the time at which the end of its connection reached the runner; zero if the run was
	// not cancelled.
	Sent, Canceled time.Time
	// Finished is the time at which the run ended; Complete reports that its last event was sent, after Events others.
	Finished time.Time
	Complete bool
	Events   int
	// Name identifies the run in its events; After is the id of the event after which it began, 0 for the start.
	Name  string
	After int
	// Concurrent is the number of other requests at the runner on arrival. WarmingUp reports that the runner was still
	// slow after its start, Capacity how many requests it could then process concurrently.
	Concurrent int
	WarmingUp  bool
	Capacity   int
}

// ClientAttempt is one client attempt: a client's transmission of a request and the response to it.
type ClientAttempt struct {
	Request       string
	Route         string
	AtMostOnce    bool
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
	// IDs are the ids of the received events, Runs the runs that they name.
	IDs  []int
	Runs []string
	// Done reports that the last event was a done event, Error that it was an error event.
	Done, Error bool
	// ConnectionLost reports that the connection broke without an answer, RequestSent that the request had been sent.
	ConnectionLost, RequestSent bool
	// ClientDisconnected reports that the client itself disconnected; DisconnectedAt is the time at which the end of its
	// connection reached the daemon's machine.
	ClientDisconnected bool
	DisconnectedAt     time.Time
	// CancelsOnDisconnect reports that on the request's route a run is cancelled when its client disconnects.
	CancelsOnDisconnect bool
	// Resent reports that the same request had been sent before, Undeclared that its client did not state whether it had.
	Resent, Undeclared bool
	// MinorityLeft reports that when the answer came, or shortly before, some control machines ran but no majority, or no
	// majority of them could reach each other.
	MinorityLeft bool
	// Attempt is the number of the attempt as its client states it; 0 if it states none.
	Attempt int
	// Resumable reports that the stream may continue at another runner; HeaderRunner is the runner that the response's
	// header names.
	Resumable    bool
	HeaderRunner string
	// Last is the time at which the last event arrived. Started is the time at which the daemon had received the complete
	// request, and Deadline the time that the request has from then on; 0 for no deadline.
	Last, Started time.Time
	Deadline      time.Duration
}

// Outcomes and verbs of operators' requests, as on the operators' interface.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"

	verbApply     = "apply"
	verbChange    = "change"
	verbClose     = "close"
	verbGet       = "get"
	verbOperation = "operation"
)

// OperatorRequest is one operator's request, most often a change, and its response.
type OperatorRequest struct {
	Operation string
	Verb      string
	Zone      string
	Base      uint64
	HasBase   bool
	// Marker is a route that only this request's spec has.
	Marker string
	// Spec is the complete document of an apply, Change the document of a change of named entries.
	Spec       *config.Spec
	Change     *config.Change
	Sent, Got  time.Time
	Outcome    string
	Epoch      uint64
	HTTPStatus int
}

// Drain records that the platform began to list a runner as draining, or ceased to list it. Back is the time at which
// it listed the runner as before; zero if it did not. A runner that has drained never returns under the same identity.
type Drain struct {
	At, Back time.Time
	Runner   string
	Drained  bool
}

// Fault is a fault that was injected into the fleet. It excuses only what it affected.
type Fault struct {
	At, Until time.Time
	What      string
	// Daemon is the HTTP address of the affected data daemon, Runner the id of the affected runner; "" for none.
	Daemon, Runner string
	// LosesRequests reports that requests in progress at the daemon may be lost.
	LosesRequests bool
	// DetectionTime is the time from the fault's begin until others can detect it.
	DetectionTime time.Duration
}

// Isolation is a period in which a daemon had no path to the control machines. By Until it must have learned the
// changes that it missed, or have stopped serving.
type Isolation struct {
	Daemon      string
	From, Until time.Time
}

// OutageEnd records the time at which all machines were back after an outage.
type OutageEnd struct{ At time.Time }

// CapacitySample is the actual capacity of the backend at a moment: the free slots and all slots, by zone, of the
// runners that are healthy, listed and warmed up.
type CapacitySample struct {
	At    time.Time
	Free  map[string]int
	Slots map[string]int
}

// Final is the fleet's final state. Known holds the operations in effect and their epochs, Missing those that were not
// found, and WasRead reports whether the state was read.
type Final struct {
	Epoch   uint64
	Routes  []string
	Known   map[string]uint64
	Missing []string
	WasRead bool
}
