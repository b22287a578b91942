package reservation

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// exploration simulates clients that send and retry requests, in a fleet whose daemons are killed, frozen and cut off
// while messages are lost, repeated and reordered. No request may run twice.
type exploration struct {
	*testFleet
	requests []*exploredRequest
	// inTransit holds client attempts that are on their way to a process; the delay is unbounded.
	inTransit []*attemptInTransit
	// arrivals holds the reservations of attempts that have arrived, until their daemon has acted on the outcome.
	arrivals []*arrivedAttempt
	// loss is the fraction of messages that are lost.
	loss float64
	// outcomes counts reservations by outcome.
	outcomes map[Outcome]int
	restarts int
}

// exploredRequest is a request with the state of its client.
type exploredRequest struct {
	key  Key
	term uint64
	// sent counts the attempts; refusedUpTo is the greatest number of an attempt that was refused, so that the client
	// knows that neither it nor any earlier one runs.
	sent, refusedUpTo int
	runs              []string
	// arrived holds its attempts that have reached a daemon, for the trace of a failure.
	arrived []*arrivedAttempt
}

// attemptInTransit is a client attempt on its way to a daemon process.
type attemptInTransit struct {
	request *exploredRequest
	daemon  *testDaemon
	attempt ClientAttempt
}

// arrivedAttempt is a client attempt that has reached a daemon.
type arrivedAttempt struct {
	request     *exploredRequest
	daemon      *testDaemon
	reservation *Reservation
}

// step takes one random action.
func (exploration *exploration) step() {
	random := exploration.random
	exploration.now = exploration.now.Add(time.Duration(random.Intn(4)) * time.Millisecond)
	switch choice := random.Intn(100); {
	case choice < 55:
		exploration.deliverAny()
	case choice < 67:
		exploration.tick(exploration.anyDaemon())
	case choice < 75:
		exploration.anyDaemon().adopt()
	case choice < 81:
		exploration.anyDaemon().report()
	case choice < 84:
		exploration.plan()
	case choice < 88:
		exploration.send()
	case choice < 92:
		exploration.arrive()
	case choice < 98:
		exploration.handleOutcome()
	default:
		exploration.injectFault()
	}
}

func (exploration *exploration) anyDaemon() *testDaemon {
	return exploration.daemons[exploration.random.Intn(len(exploration.daemons))]
}

// deliverAny delivers a message, usually one of the oldest; it may be lost, or duplicated and delivered again later.
func (exploration *exploration) deliverAny() {
	if len(exploration.messages) == 0 {
		return
	}
	index := exploration.random.Intn(len(exploration.messages))
	if exploration.random.Intn(4) > 0 {
		index = exploration.random.Intn(min(4, len(exploration.messages)))
	}
	switch message := exploration.messages[index]; {
	case exploration.random.Float64() < exploration.loss:
		exploration.messages = slices.Delete(exploration.messages, index, index+1)
	case exploration.random.Intn(50) == 0:
		exploration.messages = append(exploration.messages, message)
		exploration.deliver(index)
	default:
		exploration.deliver(index)
	}
	for len(exploration.messages) > 400 {
		exploration.messages = exploration.messages[1:]
	}
}

// send sends a new request, or retries an earlier one, to any daemon.
func (exploration *exploration) send() {
	daemon := exploration.anyDaemon()
	var request *exploredRequest
	if len(exploration.requests) > 0 && exploration.random.Intn(2) == 0 {
		newest := exploration.requests[max(0, len(exploration.requests)-12):]
		request = newest[exploration.random.Intn(len(newest))]
	} else {
		// The client knows some daemon's term, which may be newer than that of the daemon it sends to.
		request = &exploredRequest{key: testKey(len(exploration.requests)), term: exploration.anyDaemon().coordinator.Term()}
		exploration.requests = append(exploration.requests, request)
	}
	request.sent++
	if daemon.isUp {
		attempt := ClientAttempt{Number: request.sent, Term: request.term, NotBefore: daemon.firstEpoch}
		exploration.inTransit = append(exploration.inTransit, &attemptInTransit{request, daemon, attempt})
	}
}

// arrive delivers an attempt, usually one of the newest, unless its daemon's process has ended.
func (exploration *exploration) arrive() {
	count := len(exploration.inTransit)
	if count == 0 {
		return
	}
	index := exploration.random.Intn(count)
	if exploration.random.Intn(8) > 0 {
		index = count - 1 - exploration.random.Intn(min(3, count))
	}
	arrived := exploration.inTransit[index]
	exploration.inTransit = slices.Delete(exploration.inTransit, index, index+1)
	daemon := arrived.daemon
	if !daemon.isUp {
		return
	}
	reservation := daemon.coordinator.Reserve(exploration.now, arrived.request.key, arrived.attempt)
	exploration.collect(daemon)
	arrival := &arrivedAttempt{arrived.request, daemon, reservation}
	exploration.arrivals = append(exploration.arrivals, arrival)
	arrival.request.arrived = append(arrival.request.arrived, arrival)
}

// handleOutcome lets a daemon act on a decided reservation, some time after the decision: if it is granted, the daemon
// runs the request or releases the reservation.
func (exploration *exploration) handleOutcome() {
	if len(exploration.arrivals) == 0 {
		return
	}
	index := exploration.random.Intn(len(exploration.arrivals))
	arrival := exploration.arrivals[index]
	outcome := arrival.reservation.Outcome()
	if outcome == Pending && arrival.daemon.isUp {
		return
	}
	exploration.arrivals = slices.Delete(exploration.arrivals, index, index+1)
	exploration.outcomes[outcome]++
	if !arrival.daemon.isUp || outcome != Granted {
		return
	}
	if exploration.random.Intn(5) == 0 || !arrival.daemon.mayServe(exploration.now) {
		arrival.daemon.coordinator.Release(exploration.now, arrival.reservation)
		exploration.collect(arrival.daemon)
		arrival.request.refusedUpTo = max(arrival.request.refusedUpTo, arrival.reservation.attempt.Number)
		return
	}
	if arrival.reservation.attempt.Number <= arrival.request.refusedUpTo {
		exploration.describe(arrival.request)
		exploration.t.Fatalf("attempt %d ran after attempt %d was refused", arrival.reservation.attempt.Number,
			arrival.request.refusedUpTo)
	}
	arrival.request.runs = append(arrival.request.runs,
		fmt.Sprintf("%s under epoch %d", arrival.daemon.identity.Address, arrival.daemon.adopted.GetEpoch()))
	arrival.daemon.coordinator.Finish(arrival.reservation)
	if len(arrival.request.runs) > 1 {
		exploration.describe(arrival.request)
		exploration.t.Fatalf("a request of term %d ran twice: %v", arrival.request.term, arrival.request.runs)
	}
}

// describe logs the history of a request that failed the check.
func (exploration *exploration) describe(request *exploredRequest) {
	for _, membership := range exploration.memberships {
		exploration.t.Log(membership)
	}
	for _, arrived := range request.arrived {
		reservation := arrived.reservation
		exploration.t.Logf("%s: attempt %+v, token %x: %s", arrived.daemon.identity.Address, reservation.attempt,
			reservation.token, reservation.Outcome())
		for _, vote := range reservation.zones {
			exploration.t.Logf("  zone %s in epoch %d: %v of %v", vote.zone.Name, vote.zone.Epoch, vote.answers, vote.group)
		}
	}
	for _, daemon := range exploration.daemons {
		exploration.t.Logf("%v: up %v, synced %v, cut off %v, acts in epoch %d", daemon.identity, daemon.isUp,
			daemon.replica.IsSynced(), !daemon.cutOffAt.IsZero(), daemon.adopted.GetEpoch())
	}
}

// injectFault kills, restarts, disconnects or reconnects a daemon or a zone, reports the end of a process, or advances
// the time.
func (exploration *exploration) injectFault() {
	random, daemon := exploration.random, exploration.anyDaemon()
	switch random.Intn(8) {
	case 0, 1:
		exploration.kill(daemon)
	case 2, 3:
		if !daemon.isUp {
			daemon.ended = true
			exploration.restarts++
			exploration.start(daemon.identity.Address, daemon.zone)
		}
	case 4:
		daemon.ended = daemon.ended || !daemon.isUp
	case 5:
		if daemon.cutOffAt.IsZero() {
			daemon.cutOffAt = exploration.now
		} else {
			daemon.cutOffAt = time.Time{}
		}
	case 6:
		exploration.isolatedZones[daemon.zone] = !exploration.isolatedZones[daemon.zone]
	case 7:
		exploration.now = exploration.now.Add(time.Duration(random.Intn(800)) * time.Millisecond)
	}
}

// At-most-once execution must hold for every history of faults: a request that is sent several times runs at most once,
// and no attempt runs after the client was notified that it and all earlier ones do not.
func TestNothingRunsTwice(t *testing.T) {
	t.Parallel()
	from, seeds, actions := int64(1), int64(120), 6000
	if wanted, err := strconv.ParseInt(os.Getenv("WARDTRAY_SEEDS"), 10, 64); err == nil {
		seeds = wanted
	}
	total, restarts, epochs := map[Outcome]int{}, 0, uint64(0)
	for seed := from; seed < from+seeds; seed++ {
		sizes := [][]int{{3, 3}, {4, 4, 4}, {2, 3, 1}, {5}, {1, 1, 1}, {3, 2, 2, 3}}[seed%6]
		exploration := &exploration{testFleet: newTestFleet(t, seed, sizes...), outcomes: map[Outcome]int{}}
		exploration.loss = float64(seed%4) * 0.05
		t.Logf("seed %d", seed)
		for range actions {
			exploration.step()
		}
		for outcome, count := range exploration.outcomes {
			total[outcome] += count
		}
		restarts += exploration.restarts
		epochs += exploration.membership.Epoch
	}
	t.Logf("outcomes %v, %d restarts, %d epochs", total, restarts, epochs)
	for _, outcome := range []Outcome{Granted, Taken, InDoubt, Unreachable} {
		if total[outcome] < 100 {
			t.Errorf("only %d reservations were %s, want at least 100", total[outcome], outcome)
		}
	}
}
