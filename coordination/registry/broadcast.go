package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// confirmTimeout is how long the response to a call waits for every daemon, and halfTimeout how long for half of
	// them.
	confirmTimeout = 400 * time.Millisecond
	halfTimeout    = 750 * time.Millisecond
	// retryInterval is how often an update is sent again to those who have not acknowledged it, respondedRetryInterval
	// how often once the call has its response, and retryTimeout for how long.
	retryInterval          = 100 * time.Millisecond
	respondedRetryInterval = 300 * time.Millisecond
	retryTimeout           = 2 * time.Second
	// maximumBroadcasts bounds the broadcasts of leaving runners in progress.
	maximumBroadcasts = 1024
)

// broadcast is the update of one leaving runner on its way to every daemon.
type broadcast struct {
	runner    string
	startedAt time.Time
	sentAt    time.Time
	// unconfirmed are the daemons that have not acknowledged it yet, of so many.
	unconfirmed map[string]bool
	confirmed   int
	daemons     int
	// waiting are the responses to the calls that wait for it; nil once they were given.
	waiting []func(outcome Outcome)
}

// broadcasts are those of one registrar.
type broadcasts struct {
	exchange    *Exchange
	environment Environment
	counters    *Counters
	inProgress  map[uint64]*broadcast
	// announced are the leaving runners of which this core itself has notified every daemon.
	announced map[string]bool
	// lastNonce is the nonce of the latest broadcast; the first follows the number of the incarnation.
	lastNonce uint64
}

func newBroadcasts(exchange *Exchange, environment Environment, counters *Counters, incarnation uint64) broadcasts {
	return broadcasts{
		exchange: exchange, environment: environment, counters: counters, lastNonce: incarnation,
		inProgress: map[uint64]*broadcast{}, announced: map[string]bool{},
	}
}

func (broadcasts *broadcasts) full() bool { return len(broadcasts.inProgress) >= maximumBroadcasts }

// start sends a leaving runner's record to every daemon and core; respond is called once the daemons have acknowledged
// it, or can't be reached.
func (broadcasts *broadcasts) start(now time.Time, record *wire.Runner, respond func(outcome Outcome)) {
	broadcasts.lastNonce++
	nonce := broadcasts.lastNonce
	broadcasts.announced[record.RunnerId] = true
	broadcast := &broadcast{
		runner: record.RunnerId, startedAt: now, sentAt: now, unconfirmed: map[string]bool{},
		waiting: []func(outcome Outcome){respond},
	}
	broadcasts.inProgress[nonce] = broadcast
	for _, daemon := range broadcasts.environment.Daemons(now) {
		broadcast.unconfirmed[daemon] = true
	}
	broadcast.daemons = len(broadcast.unconfirmed)
	broadcasts.send(nonce, broadcast)
	for _, core := range broadcasts.environment.Cores() {
		if !broadcast.unconfirmed[core] {
			broadcasts.exchange.send(core, &wire.RunnerUpdate{Runners: []*wire.Runner{record}})
		}
	}
	broadcasts.complete(now, nonce, broadcast)
}

// send sends a broadcast's update to those who have not acknowledged it.
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

// attach lets a further call of a runner wait for its broadcast; it reports whether there is one to wait for.
func (broadcasts *broadcasts) attach(runner string, respond func(outcome Outcome)) bool {
	for _, broadcast := range broadcasts.inProgress {
		if broadcast.runner == runner && broadcast.waiting != nil {
			broadcast.waiting = append(broadcast.waiting, respond)
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

// complete responds to the calls that wait for a broadcast that every daemon has acknowledged, or whose time is over,
// and ends it when it has nothing left to do.
func (broadcasts *broadcasts) complete(now time.Time, nonce uint64, broadcast *broadcast) {
	elapsed, confirmed := now.Sub(broadcast.startedAt), len(broadcast.unconfirmed) == 0
	if confirmed || elapsed >= retryTimeout {
		delete(broadcasts.inProgress, nonce)
	}
	outcome, decided := broadcast.outcome(elapsed)
	if broadcast.waiting == nil || !decided {
		return
	}
	if outcome == Unreachable {
		// The response to the next call of this runner must not be as though the daemons had been notified.
		delete(broadcasts.announced, broadcast.runner)
		delete(broadcasts.inProgress, nonce)
		broadcasts.counters.Refused++
	} else if !confirmed {
		broadcasts.counters.Unconfirmed++
	}
	waiting := broadcast.waiting
	broadcast.waiting = nil
	for _, respond := range waiting {
		respond(outcome)
	}
}

// outcome returns the outcome of the calls that wait for a broadcast; decided is false where they have to wait on.
func (broadcast *broadcast) outcome(elapsed time.Duration) (outcome Outcome, decided bool) {
	if len(broadcast.unconfirmed) == 0 {
		return Accepted, true
	}
	if elapsed < confirmTimeout {
		return "", false
	}
	// A daemon that so many others leave behind dispatches nothing for long, and learns of the runner before it does so
	// again.
	if 2*broadcast.confirmed >= broadcast.daemons {
		return Accepted, true
	}
	// This core would promise what it can't keep; the runner had better call another.
	return Unreachable, elapsed >= halfTimeout
}

// tick sends again what was not acknowledged, and responds to calls that have waited long enough.
func (broadcasts *broadcasts) tick(now time.Time) {
	for _, nonce := range slices.Sorted(maps.Keys(broadcasts.inProgress)) {
		broadcast := broadcasts.inProgress[nonce]
		interval := retryInterval
		if broadcast.waiting == nil {
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

// forget forgets the announcements of runners that are not in the table any more.
func (broadcasts *broadcasts) forget(isKnown func(id string) bool) {
	maps.DeleteFunc(broadcasts.announced, func(id string, _ bool) bool { return !isKnown(id) })
}
