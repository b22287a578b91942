package codec

import (
	"time"

	"wardtray/balancer/load"
)

// Attempt describes one attempt: a request that is sent to one runner.
type Attempt struct {
	// Runner is the one that the scheduler chose.
	Runner load.Runner
	// Daemon is the name of the daemon that sends.
	Daemon string
	// Epoch is that of the configuration under which the request is sent.
	Epoch uint64
	// Remaining is how long the client still waits; 0: not known.
	Remaining time.Duration
	// LastEventID is the id of the last event that the client has; 0: none.
	LastEventID int
	// Urgency is from 0, the most urgent, to 9; 5 is the default.
	Urgency int
	// Weights is the version of the model's weights that the backend serves.
	Weights string
	// Tenant is the name of the tenant whose key the request carried; empty: none was needed.
	Tenant string
	// Term is what the client is to state of the requests that it sends for the first time from now on; 0: nothing.
	Term uint64
}

// Disposition classifies the head of a runner's response.
type Disposition string

// The dispositions of a response.
const (
	// Streams: a stream of events follows.
	Streams Disposition = "runs"
	// Finished: the run has ended with a response that is no stream and is forwarded as a whole.
	Finished Disposition = "ended"
	// Failed: the run has ended with an error of the runner's own.
	Failed Disposition = "failed"
	// NotExecuted: the request did not run and will not.
	NotExecuted Disposition = "put back"
	// Misdirected: another runner answers at this address; the request did not run.
	Misdirected Disposition = "elsewhere"
	// Stray: the response belongs to another request.
	Stray Disposition = "stray"
	// Unclear: the response does not say whether the request ran.
	Unclear Disposition = "unclear"
)

// ResponseHead is what the head of a runner's response says.
type ResponseHead struct {
	Disposition Disposition
	// Report is the load that the runner reports, nil where it does not.
	Report *load.Report
	// IdleTimeout is how long the connection may stay idle; 0: not given. Closes says that it can't be reused at all.
	IdleTimeout time.Duration
	Closes      bool
}
