package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// confirmTimeout is the time limit of a call's wait for the acknowledgements of all daemons, halfTimeout that of its
	// wait for the acknowledgements of half of the daemons.
	confirmTimeout = 400 * time.Millisecond
	halfTimeout    = 750 * time.Millisecond
	// retryInterval is the interval at which an update is sent again to daemons that have not acknowledged it,
	// respondedRetryInterval the interval once the call has its response. No update is sent again after retryTimeout.
	retryInterval          = 100 * time.Millisecond
	respondedRetryInterval = 300 * time.Millisecond
	retryTimeout           = 2 * time.Second
	// maximumBroadcasts is the maximum number of broadcasts in progress.
	maximumBroadcasts = 1024
)

// broadcast is the delivery of a leaving runner's record to every daemon.
type broadcast struct {
	runner    string
	startedAt time.Time
	sentAt    time.Time
	// unconfirmed are the daemons that have not acknowledged the update yet, confirmed is the number of those that have,
	// and daemons the number of all of them.
	unconfirmed map[string]bool
	confirmed   int
	daemons     int
	// pendingResponses holds the callbacks that respond to the calls that wait for the broadcast; nil once they have been
	// called.
	pendingResponses []func(outcome Outcome)
}

// broadcasts holds the broadcasts of one registrar.
type broadcasts struct {
	exchange    *Exchange
	environment Environment
	counters    *Counters
	inProgress  map[uint64]*broadcast
	// announced holds the leaving runners of which this control node itself has notified the daemons.
	announced map[string]bool
	// lastNonce is the nonce of the latest broadcast. It starts at the incarnation number.
	lastNonce uint64
}

func newBroadcasts(exchange *Exchange, environment Environment, counters *Counters, incarnation uint64) broadcasts {
	return broadcasts{
		exchange: exchange, environment: environment, counters: counters, lastNonce: incarnation,
		inProgress: map[uint64]*broadcast{}, announced: map[string]bool{},
	}
}

func (broadcasts *broadcasts) full() bool { return len(broadcasts.inProgress) >= maximumBroadcasts }

// start sends a leaving runner's record to every daemon and control node. It calls respond once the daemons have
// acknowledged the record or the wait for them has timed out.
func (broadcasts *broadcasts) start(now time.Time, record *wire.Runner, respond func(outcome Outcome)) {
	broadcasts.lastNonce++
	nonce := broadcasts.lastNonce
	broadcasts.announced[record.RunnerId] = true
	broadcast := &broadcast{
		runner: record.RunnerId, startedAt: now, sentAt: now, unconfirmed: map[string]bool{},
		pendingResponses: []func(outcome Outcome){respond},
	}
	broadcasts.inProgress[nonce] = broadcast
	for _, daemon := range broadcasts.environment.Daemons(now) {
		broadcast.unconfirmed[daemon] = true
	}
	broadcast.daemons = len(broadcast.unconfirmed)
	broadcasts.send(nonce, broadcast)
	for _, node := range broadcasts.environment.ControlNodes() {
		if !broadcast.unconfirmed[node] {
			broadcasts.exchange.send(node, &wire.RunnerUpdate{Runners: []*wire.Runner{record}})
		}
	}
	broadcasts.complete(now, nonce, broadcast)
}

// send sends a broadcast's update to the daemons that have not acknowledged it.
func (broadcasts *broadcasts) send(nonce uint64, broadcast *broadcast) {
	record := broadcasts.exchange.Record(broadcast.runner)
	if record == nil {
		return
	}
	update := &wire.RunnerUpdate{Runners: []*wire.Runner{record}, Nonce: nonce}
	for _, address := range slices.Sorted(maps.Keys(broadcast.unconfirmed)) {
		broadcasts.exchange.send(address, update)
	}
}

// attach lets a further call of a runner wait for the runner's broadcast; it reports whether there is one to wait for.
func (broadcasts *broadcasts) attach(runner string, respond func(outcome Outcome)) bool {
	for _, broadcast := range broadcasts.inProgress {
		if broadcast.runner == runner && broadcast.pendingResponses != nil {
			broadcast.pendingResponses = append(broadcast.pendingResponses, respond)
			return true
		}
	}
	return false
}

// acknowledge handles a process's acknowledgement of the broadcast with a nonce.
func (broadcasts *broadcasts) acknowledge(now time.Time, from string, nonce uint64) {
	broadcast := broadcasts.inProgress[nonce]
	if broadcast == nil || !broadcast.unconfirmed[from] {
		return
	}
	delete(broadcast.unconfirmed, from)
	broadcast.confirmed++
	broadcasts.complete(now, nonce, broadcast)
}

// complete responds to the calls that wait for a broadcast once their outcome is decided, and removes the broadcast
// once every daemon has acknowledged it or retryTimeout is over.
func (broadcasts *broadcasts) complete(now time.Time, nonce uint64, broadcast *broadcast) {
	elapsed, confirmed := now.Sub(broadcast.startedAt), len(broadcast.unconfirmed) == 0
	if confirmed || elapsed >= retryTimeout {
		delete(broadcasts.inProgress, nonce)
	}
	outcome, decided := broadcast.outcome(elapsed)
	if broadcast.pendingResponses == nil || !decided {
		return
	}
	if outcome == Unreachable {
		// The daemons were not notified, so that the next call of this runner must start another broadcast.
		delete(broadcasts.announced, broadcast.runner)
		delete(broadcasts.inProgress, nonce)
		broadcasts.counters.Refused++
	} else if !confirmed {
		broadcasts.counters.Unconfirmed++
	}
	responses := broadcast.pendingResponses
	broadcast.pendingResponses = nil
	for _, respond := range responses {
		respond(outcome)
	}
}

// outcome returns the outcome of the calls that wait for a broadcast; decided is false while they have to wait.
func (broadcast *broadcast) outcome(elapsed time.Duration) (outcome Outcome, decided bool) {
	if len(broadcast.unconfirmed) == 0 {
		return Accepted, true
	}
	if elapsed < confirmTimeout {
		return "", false
	}
	// A daemon that lacks an update which at least half of the daemons have is probably cut off: it soon stops
	// dispatching, and learns of the leaving runner before it resumes.
	if 2*broadcast.confirmed >= broadcast.daemons {
		return Accepted, true
	}
	// This control node can't ensure that the daemons are notified; the runner should call another one.
	return Unreachable, elapsed >= halfTimeout
}

// tick sends unacknowledged updates again, and responds to calls whose wait is over.
func (broadcasts *broadcasts) tick(now time.Time) {
	for _, nonce := range slices.Sorted(maps.Keys(broadcasts.inProgress)) {
		broadcast := broadcasts.inProgress[nonce]
		interval := retryInterval
		if broadcast.pendingResponses == nil {
			interval = respondedRetryInterval
		}
		if now.Sub(broadcast.sentAt) >= interval {
			broadcast.sentAt = now
			broadcasts.counters.Retried++
			broadcasts.send(nonce, broadcast)
		}
		broadcasts.complete(now, nonce, broadcast)
	}
}

// removeUnknown removes the announcements of runners that the table no longer holds.
func (broadcasts *broadcasts) removeUnknown(isKnown func(id string) bool) {
	maps.DeleteFunc(broadcasts.announced, func(id string, _ bool) bool { return !isKnown(id) })
}
