package codec

import (
	"time"

	"wardtray/balancer/load"
)

// Attempt holds the parameters of one attempt, the transmission of a request to one runner.
type Attempt struct {
	// Runner is the runner that the scheduler selected.
	Runner load.Runner
	// Daemon is the name of the data daemon that sends the request.
	Daemon string
	// Epoch is the epoch of the configuration in effect when the request is sent.
	Epoch uint64
	// Remaining is the time left until the client's timeout; 0: not known.
	Remaining time.Duration
	// LastEventID is the id of the last event that the client has received; 0: none.
	LastEventID int
	// Urgency ranges from 0, the most urgent, to 9; the default is 5.
	Urgency int
	// Weights is the version of the model's weights that the backend serves.
	Weights string
	// Tenant is the name of the tenant whose key the request carried; empty if no key was required.
	Tenant string
	// Term is the term that the response states, for the client to send with the requests that it makes from then on;
	// 0: none.
	Term uint64
}

// Disposition classifies the head of a runner's response.
type Disposition string

// The dispositions of a response.
const (
	// Streams: a stream of events follows the head.
	Streams Disposition = "runs"
	// Finished: the run has ended with a response that is not a stream and is forwarded complete.
	Finished Disposition = "ended"
	// Failed: the run has ended with an error of the runner.
	Failed Disposition = "failed"
	// NotExecuted: the runner did not execute the request and will not.
	NotExecuted Disposition = "put back"
	// Misdirected: another runner responds at this address; the request did not run.
	Misdirected Disposition = "elsewhere"
	// Stray: the response belongs to another request, whose response arrived late.
	Stray Disposition = "stray"
	// Unclear: the response does not say whether the request ran.
	Unclear Disposition = "unclear"
)

// ResponseHead is the interpretation of the head of a runner's response.
type ResponseHead struct {
	Disposition Disposition
	// Report is the load that the runner reports; nil if it reports none.
	Report *load.Report
	// IdleTimeout is the time for which the runner keeps the connection open while idle; 0: not given. Closes reports
	// whether the runner closes the connection after this response.
	IdleTimeout time.Duration
	Closes      bool
}
