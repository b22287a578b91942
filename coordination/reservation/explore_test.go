package reservation

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// exploration plays callers that send requests, and send them again, at a fleet whose daemons are killed, frozen and
// cut off while messages are lost, repeated and reordered. No request may run twice.
type exploration struct {
	*testFleet
	requests []*exploredRequest
	// arriving are sendings that are on their way to a process, for any time.
	arriving []*exploredSending
	// running are granted reservations on which their daemons have not acted yet.
	running []*exploredRun
	// loss is the part of the messages that are lost.
	loss float64
	// outcomes counts how reservations ended.
	outcomes map[Outcome]int
	restarts int
}

// exploredRequest is a request and what its caller knows.
type exploredRequest struct {
	key  Key
	term uint64
	// sent counts its sendings; refused is the greatest number of those of which its caller was told that neither they nor
	// earlier ones run.
	sent, refused int
	runs          []string
	// attempts are its sendings that have arrived, for the trace of a failure.
	attempts []*exploredRun
}

// exploredSending is a sending of a request to a daemon's process.
type exploredSending struct {
	request *exploredRequest
	daemon  *testDaemon
	sending Sending
}

// exploredRun is a sending at a daemon.
type exploredRun struct {
	request     *exploredRequest
	daemon      *testDaemon
	reservation *Reservation
}

// act takes one action at random.
func (exploration *exploration) act() {
	random := exploration.random
	exploration.now = exploration.now.Add(time.Duration(random.Intn(4)) * time.Millisecond)
	switch choice := random.Intn(100); {
	case choice < 55:
		exploration.deliverAny()
	case choice < 67:
		exploration.tick(exploration.any())
	case choice < 75:
		exploration.any().adopt()
	case choice < 81:
		exploration.any().report()
	case choice < 84:
		exploration.plan()
	case choice < 88:
		exploration.send()
	case choice < 92:
		exploration.arrive()
	case choice < 98:
		exploration.actOnAGrant()
	default:
		exploration.disturb()
	}
}

func (exploration *exploration) any() *testDaemon {
	return exploration.daemons[exploration.random.Intn(len(exploration.daemons))]
}

// deliverAny has a message arrive, mostly one of the oldest; it may be lost, or come again later.
func (exploration *exploration) deliverAny() {
	if len(exploration.mail) == 0 {
		return
	}
	index := exploration.random.Intn(len(exploration.mail))
	if exploration.random.Intn(4) > 0 {
		index = exploration.random.Intn(min(4, len(exploration.mail)))
	}
	switch mail := exploration.mail[index]; {
	case exploration.random.Float64() < exploration.loss:
		exploration.mail = slices.Delete(exploration.mail, index, index+1)
	case exploration.random.Intn(50) == 0:
		exploration.mail = append(exploration.mail, mail)
		exploration.deliver(index)
	default:
		exploration.deliver(index)
	}
	for len(exploration.mail) > 400 {
		exploration.mail = exploration.mail[1:]
	}
}

// send sends a new request, or one that was sent before, to any daemon.
func (exploration *exploration) send() {
	daemon := exploration.any()
	var request *exploredRequest
	if len(exploration.requests) > 0 && exploration.random.Intn(2) == 0 {
		newest := exploration.requests[max(0, len(exploration.requests)-12):]
		request = newest[exploration.random.Intn(len(newest))]
	} else {
		// The caller has heard of some daemon's term, which may be a newer one than that of the daemon that gets it.
		request = &exploredRequest{key: testKey(len(exploration.requests)), term: exploration.any().coordinator.Term()}
		exploration.requests = append(exploration.requests, request)
	}
	request.sent++
	if daemon.isUp {
		sending := Sending{Number: request.sent, Term: request.term, NotBefore: daemon.birth}
		exploration.arriving = append(exploration.arriving, &exploredSending{request, daemon, sending})
	}
}

// arrive has a sending arrive, mostly one of the newest, unless its daemon's process has ended.
func (exploration *exploration) arrive() {
	count := len(exploration.arriving)
	if count == 0 {
		return
	}
	index := exploration.random.Intn(count)
	if exploration.random.Intn(8) > 0 {
		index = count - 1 - exploration.random.Intn(min(3, count))
	}
	arrived := exploration.arriving[index]
	exploration.arriving = slices.Delete(exploration.arriving, index, index+1)
	daemon := arrived.daemon
	if !daemon.isUp {
		return
	}
	made := daemon.coordinator.Reserve(exploration.now, arrived.request.key, arrived.sending)
	exploration.collect(daemon)
	run := &exploredRun{arrived.request, daemon, made}
	exploration.running = append(exploration.running, run)
	run.request.attempts = append(run.request.attempts, run)
}

// actOnAGrant has a daemon act on a reservation, some time after it was granted: it runs the request, or gives it up.
func (exploration *exploration) actOnAGrant() {
	if len(exploration.running) == 0 {
		return
	}
	index := exploration.random.Intn(len(exploration.running))
	run := exploration.running[index]
	outcome := run.reservation.Outcome()
	if outcome == Pending && run.daemon.isUp {
		return
	}
	exploration.running = slices.Delete(exploration.running, index, index+1)
	exploration.outcomes[outcome]++
	if !run.daemon.isUp || outcome != Granted {
		return
	}
	if exploration.random.Intn(5) == 0 || !run.daemon.mayServe(exploration.now) {
		run.daemon.coordinator.Release(exploration.now, run.reservation)
		exploration.collect(run.daemon)
		run.request.refused = max(run.request.refused, run.reservation.sending.Number)
		return
	}
	if run.reservation.sending.Number <= run.request.refused {
		exploration.describe(run.request)
		exploration.t.Fatalf("sending %d ran after %d was refused", run.reservation.sending.Number, run.request.refused)
	}
	run.request.runs = append(run.request.runs,
		fmt.Sprintf("%s under epoch %d", run.daemon.identity.Address, run.daemon.known.GetEpoch()))
	run.daemon.coordinator.Finish(run.reservation)
	if len(run.request.runs) > 1 {
		exploration.describe(run.request)
		exploration.t.Fatalf("a request of term %d ran twice: %v", run.request.term, run.request.runs)
	}
}

// describe writes what led to a failure.
func (exploration *exploration) describe(request *exploredRequest) {
	for _, membership := range exploration.memberships {
		exploration.t.Log(membership)
	}
	for _, attempt := range request.attempts {
		made := attempt.reservation
		exploration.t.Logf("%s: sending %+v, token %x: %s", attempt.daemon.identity.Address, made.sending, made.token,
			made.Outcome())
		for _, vote := range made.zones {
			exploration.t.Logf("  zone %s in epoch %d: %v of %v", vote.zone.Name, vote.zone.Epoch, vote.answers, vote.group)
		}
	}
	for _, daemon := range exploration.daemons {
		exploration.t.Logf("%v: up %v, synced %v, cut %v, acts in epoch %d", daemon.identity, daemon.isUp,
			daemon.replica.IsSynced(), !daemon.cutAt.IsZero(), daemon.known.GetEpoch())
	}
}

// disturb kills, starts, cuts off or joins again.
func (exploration *exploration) disturb() {
	random, daemon := exploration.random, exploration.any()
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
		if daemon.cutAt.IsZero() {
			daemon.cutAt = exploration.now
		} else {
			daemon.cutAt = time.Time{}
		}
	case 6:
		exploration.cut[daemon.zone] = !exploration.cut[daemon.zone]
	case 7:
		exploration.now = exploration.now.Add(time.Duration(random.Intn(800)) * time.Millisecond)
	}
}

func TestNothingRunsTwice(t *testing.T) {
	t.Parallel()
	from, seeds, actions := int64(1), int64(120), 6000
	if asked, err := strconv.ParseInt(os.Getenv("WARDTRAY_SEEDS"), 10, 64); err == nil {
		seeds = asked
	}
	total, restarts, epochs := map[Outcome]int{}, 0, uint64(0)
	for seed := from; seed < from+seeds; seed++ {
		sizes := [][]int{{3, 3}, {4, 4, 4}, {2, 3, 1}, {5}, {1, 1, 1}, {3, 2, 2, 3}}[seed%6]
		exploration := &exploration{testFleet: newTestFleet(t, seed, sizes...), outcomes: map[Outcome]int{}}
		exploration.loss = float64(seed%4) * 0.05
		t.Logf("seed %d", seed)
		for range actions {
			exploration.act()
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
			t.Errorf("only %d of %s", total[outcome], outcome)
		}
	}
}
