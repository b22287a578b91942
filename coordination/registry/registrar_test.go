package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const heartbeat = time.Second

// scheduler is a registrar with what it sends and is told.
type scheduler struct {
	t         *testing.T
	outbox    *statemachine.Outbox
	registrar *Registrar
	daemons   []string
	joined    bool
	isolated  bool
	now       time.Time
}

func newScheduler(t *testing.T) *scheduler {
	made := &scheduler{t: t, outbox: statemachine.NewOutbox(), daemons: []string{"d0", "d1"}, joined: true, now: started}
	made.registrar = NewRegistrar(started, heartbeat, 7, made.outbox, Environment{Daemons: func(time.Time) []string { return made.daemons },
		Cores: func() []string { return []string{"c1"} }, Joined: func(time.Time) bool { return made.joined },
		Isolated: func(time.Time) bool { return made.isolated }})
	return made
}

func ready(id string, call uint64) *wire.Runner {
	return &wire.Runner{RunnerId: id, Address: "10.0.0.1:" + id[1:], Zone: "a", Service: "s", Slots: 4, State: Ready, Call: call}
}

func draining(id string, call uint64) *wire.Runner {
	line := ready(id, call)
	line.State = Draining
	return line
}

// call gives where the outcome of a call will stand.
func (scheduler *scheduler) call(line *wire.Runner) *Outcome {
	got := new(Outcome)
	scheduler.registrar.Register(scheduler.now, line, func(outcome Outcome) {
		if *got != "" {
			scheduler.t.Error("answered twice")
		}
		*got = outcome
	})
	return got
}

// pass lets time go by, in ticks, without what is sent.
func (scheduler *scheduler) pass(length time.Duration) {
	for end := scheduler.now.Add(length); scheduler.now.Before(end); {
		scheduler.now = scheduler.now.Add(50 * time.Millisecond)
		scheduler.registrar.Tick(scheduler.now)
	}
}

// news gives what was sent to each address since this was last asked.
func (scheduler *scheduler) news() map[string][]*wire.RunnerUpdate {
	news := map[string][]*wire.RunnerUpdate{}
	parcels, _ := scheduler.outbox.Drain()
	for _, parcel := range parcels {
		if told := parcel.Envelope.GetRunnerUpdate(); told != nil {
			news[parcel.To] = append(news[parcel.To], told)
		}
	}
	return news
}

func (scheduler *scheduler) held(from string, nonce uint64) {
	scheduler.registrar.Held(scheduler.now, from, &wire.RunnerUpdateAck{Nonce: nonce})
}

func (scheduler *scheduler) state(id string) string { return scheduler.registrar.Line(id).GetState() }

func TestRetriedCallsSendNothing(t *testing.T) {
	scheduler := newScheduler(t)
	got := scheduler.call(ready("r1", 1))
	if *got != "" {
		t.Fatal("acknowledged before anybody else was told")
	}
	scheduler.pass(50 * time.Millisecond)
	if news := scheduler.news(); *got != Taken || len(news["d0"]) != 1 || len(news["d1"]) != 1 || len(news["c1"]) != 1 {
		t.Fatal(news)
	}
	for number := range 10 {
		scheduler.pass(heartbeat)
		scheduler.call(ready("r1", uint64(number+2)))
	}
	if news := scheduler.news(); len(news) != 0 {
		t.Fatal(news)
	}
	moved := ready("r1", 20)
	moved.Slots = 9
	scheduler.call(moved)
	scheduler.pass(50 * time.Millisecond)
	if news := scheduler.news(); len(news["d0"]) != 1 || news["d0"][0].Runners[0].Slots != 9 {
		t.Fatal(news)
	}
}

func TestLateCallsChangeNothing(t *testing.T) {
	scheduler := newScheduler(t)
	scheduler.call(ready("r1", 5))
	late := ready("r1", 5)
	late.Address = "10.0.0.9:9"
	if got := scheduler.call(late); *got != Late || scheduler.registrar.Line("r1").Address == late.Address {
		t.Fatal(*got)
	}
	scheduler.daemons = nil
	scheduler.call(draining("r1", 6))
	for call := uint64(4); call < 9; call++ {
		if got := scheduler.call(ready("r1", call)); *got == "" || scheduler.state("r1") != Draining {
			t.Fatal(call, *got, scheduler.state("r1"))
		}
	}
	scheduler.registrar.Deregister(scheduler.now, "r1", func(Outcome) {})
	if got := scheduler.call(ready("r1", 100)); *got != Late || scheduler.state("r1") != Gone {
		t.Fatal(*got, scheduler.state("r1"))
	}
}

// The calm way: the acknowledgement comes with the last daemon's word, at once.
func TestDrainingIsAcknowledgedOnceAllKnow(t *testing.T) {
	scheduler := newScheduler(t)
	scheduler.call(ready("r1", 1))
	scheduler.pass(50 * time.Millisecond)
	scheduler.news()
	got := scheduler.call(draining("r1", 2))
	news := scheduler.news()
	if *got != "" || len(news["d0"]) != 1 || len(news["d1"]) != 1 || news["c1"][0].Nonce != 0 {
		t.Fatal(*got, news)
	}
	nonce := news["d0"][0].Nonce
	scheduler.held("d0", nonce)
	scheduler.held("d0", nonce)
	scheduler.held("stranger", nonce)
	if *got != "" {
		t.Fatal("acknowledged before d1 knew")
	}
	scheduler.held("d1", nonce)
	if *got != Taken || scheduler.registrar.Counters().Unconfirmed != 0 {
		t.Fatal(*got)
	}
	// Its later calls are answered at once.
	if again := scheduler.call(draining("r1", 3)); *again != Taken || len(scheduler.news()) != 0 {
		t.Fatal(*again)
	}
}

// A daemon that does not answer is told again and again; the runner is not kept waiting for it.
func TestDrainingIsRetriedToWhoDoesNotConfirm(t *testing.T) {
	scheduler := newScheduler(t)
	got := scheduler.call(draining("r1", 1))
	again := scheduler.call(draining("r1", 2))
	nonce := scheduler.news()["d0"][0].Nonce
	scheduler.held("d0", nonce)
	scheduler.pass(confirmBound - 50*time.Millisecond)
	if news := scheduler.news(); *got != "" || len(news["d0"]) != 0 || len(news["d1"]) < 3 {
		t.Fatal(*got, news)
	}
	scheduler.pass(100 * time.Millisecond)
	if *got != Taken || *again != Taken || scheduler.registrar.Counters().Unconfirmed != 1 {
		t.Fatal(*got, *again)
	}
	scheduler.news()
	scheduler.pass(retryBound)
	if told := len(scheduler.news()["d1"]); told < 4 || len(scheduler.registrar.rounds) != 0 {
		t.Fatal(told, len(scheduler.registrar.rounds))
	}
}

// Nothing is promised that this core can't keep: where no daemon answers, or few do, whoever else is heard.
func TestLeavingIsNotAcknowledgedByWhoCannotTellTheDaemons(t *testing.T) {
	for name, trial := range map[string]struct {
		joined  bool
		answers int
		outcome Outcome
	}{"none": {true, 0, Unheard}, "few, alone": {false, 1, Unheard}, "few": {true, 1, Unheard}, "most, alone": {false, 2, Taken}} {
		scheduler := newScheduler(t)
		scheduler.daemons, scheduler.joined = []string{"d0", "d1", "d2"}, trial.joined
		got := scheduler.call(draining("r1", 1))
		nonce := scheduler.news()["d0"][0].Nonce
		for _, daemon := range scheduler.daemons[:trial.answers] {
			scheduler.held(daemon, nonce)
		}
		scheduler.pass(900 * time.Millisecond)
		if *got != trial.outcome {
			t.Errorf("%s: %q", name, *got)
		}
		// Found by the simulator: the call after a refused one was acknowledged at once, with no daemon told.
		if trial.outcome == Unheard {
			again := scheduler.call(draining("r1", 2))
			scheduler.pass(confirmBound)
			if *again != "" {
				t.Errorf("%s, again: %q", name, *again)
			}
		}
	}
}

func TestCoreThatHearsNobodyTakesNoCalls(t *testing.T) {
	scheduler := newScheduler(t)
	scheduler.isolated = true
	if got := scheduler.call(ready("r1", 1)); *got != Unheard || scheduler.registrar.Line("r1") != nil {
		t.Fatal(*got)
	}
	scheduler.registrar.Deregister(scheduler.now, "r1", func(outcome Outcome) {
		if outcome != Unheard {
			t.Error(outcome)
		}
	})
	scheduler.isolated = false
	got := scheduler.call(ready("r1", 1))
	scheduler.pass(50 * time.Millisecond)
	if *got != Taken {
		t.Fatal(*got)
	}
}

// A core that knows only by another's news that a runner drains asks the daemons itself before it
// acknowledges: the other may have died in the middle.
func TestDrainingHeardOfIsSpreadAnew(t *testing.T) {
	scheduler := newScheduler(t)
	scheduler.registrar.News(scheduler.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{draining("r1", 3)}})
	got := scheduler.call(draining("r1", 4))
	nonce := scheduler.news()["d0"][0].Nonce
	if *got != "" {
		t.Fatal("acknowledged on another's word")
	}
	scheduler.held("d0", nonce)
	scheduler.held("d1", nonce)
	if *got != Taken {
		t.Fatal(*got)
	}
}

// calls has some runners call for a length of time.
func (scheduler *scheduler) calls(length time.Duration, call *uint64, ids ...string) {
	for end := scheduler.now.Add(length); scheduler.now.Before(end); {
		*call++
		for _, id := range ids {
			scheduler.call(ready(id, *call))
		}
		scheduler.pass(heartbeat)
	}
}

func TestSilenceAndComingBack(t *testing.T) {
	scheduler, call := newScheduler(t), uint64(0)
	scheduler.calls(8*time.Second, &call, "r1", "r2", "r3")
	scheduler.calls(2*time.Second, &call, "r1", "r2")
	if scheduler.state("r3") != Ready {
		t.Fatal("silent too early")
	}
	scheduler.calls(2*time.Second, &call, "r1", "r2")
	if scheduler.state("r3") != Silent || scheduler.state("r1") != Ready || scheduler.registrar.Counters().Silent != 1 {
		t.Fatal(scheduler.state("r3"), scheduler.state("r1"))
	}
	scheduler.calls(time.Second, &call, "r1", "r2", "r3")
	if scheduler.state("r3") != Ready || scheduler.registrar.Counters().Revived != 1 {
		t.Fatal(scheduler.state("r3"))
	}
}

// Nobody is called silent by a core that has just begun, that stood still, or that hears neither the other
// cores nor most runners; nor most runners at once before long.
func TestSilenceIsNotCalledByWhoCannotKnow(t *testing.T) {
	lines := []*wire.Runner{ready("r1", 1), ready("r2", 1), ready("r3", 1)}
	fresh := newScheduler(t)
	fresh.registrar.News(fresh.now, "c1", &wire.RunnerUpdate{Runners: lines})
	fresh.pass(graceHeartbeats*heartbeat - 100*time.Millisecond)
	if fresh.state("r1") != Ready {
		t.Error("silent by a core that has just begun")
	}
	still, call := newScheduler(t), uint64(0)
	still.calls(8*time.Second, &call, "r1", "r2", "r3")
	still.now = still.now.Add(time.Minute)
	still.registrar.Resume(still.now)
	still.pass(3 * time.Second)
	if still.state("r1") != Ready {
		t.Error("silent by a core that stood still")
	}
	alone, call := newScheduler(t), uint64(0)
	alone.calls(8*time.Second, &call, "r1", "r2", "r3")
	alone.joined = false
	alone.pass(time.Minute)
	if alone.state("r1") != Ready {
		t.Error("silent by a core that is cut off")
	}
	crowd, call := newScheduler(t), uint64(0)
	ids := []string{}
	for number := range 8 {
		ids = append(ids, fmt.Sprint("r", number))
	}
	crowd.calls(8*time.Second, &call, ids...)
	crowd.calls(8*time.Second, &call, ids[:2]...)
	if crowd.state("r7") != Ready {
		t.Error("most are silent at once")
	}
	crowd.calls(6*time.Second, &call, ids[:2]...)
	if crowd.state("r7") != Silent || crowd.state("r0") != Ready {
		t.Error("never silent", crowd.state("r7"))
	}
}

// A core that no runner calls learns from the others who calls them; and where one of them was wrong, who
// hears the runner says so at once.
func TestOtherCoresHearToo(t *testing.T) {
	scheduler := newScheduler(t)
	scheduler.registrar.News(scheduler.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{ready("r1", 1), ready("r2", 1)}})
	for call := uint64(2); call < 14; call++ {
		scheduler.registrar.Heard(scheduler.now, &wire.RunnerHeartbeats{Calls: []*wire.RunnerVersion{{RunnerId: "r1", Call: call}}})
		scheduler.pass(heartbeat)
	}
	if scheduler.state("r1") != Ready || scheduler.state("r2") != Silent {
		t.Fatal(scheduler.state("r1"), scheduler.state("r2"))
	}
	scheduler.news()
	scheduler.registrar.News(scheduler.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{changed(ready("r1", 1), Silent, 10)}})
	scheduler.pass(50 * time.Millisecond)
	if news := scheduler.news(); scheduler.state("r1") != Ready || len(news["d0"]) != 1 || news["d0"][0].Runners[0].Call != 13 {
		t.Fatal(scheduler.state("r1"), news)
	}
}

func TestAddressBelongsToTheLastThatCalled(t *testing.T) {
	scheduler := newScheduler(t)
	scheduler.call(ready("r1", 5))
	taker := ready("r2", 1)
	taker.Address = ready("r1", 1).Address
	scheduler.call(taker)
	if scheduler.state("r1") != Silent || scheduler.state("r2") != Ready {
		t.Fatal(scheduler.state("r1"), scheduler.state("r2"))
	}
	// A call of the former one that was long on its way displaces the present one until that calls again.
	scheduler.call(ready("r1", 6))
	again := ready("r2", 2)
	again.Address = taker.Address
	scheduler.call(again)
	if scheduler.state("r1") != Silent || scheduler.state("r2") != Ready {
		t.Fatal(scheduler.state("r1"), scheduler.state("r2"))
	}
}

func TestCallsAreReadStrictly(t *testing.T) {
	good := `{"address":"10.0.0.1:80","zone":"a","service":"s","slots":4,"state":"ready","cold":"1.5s","call":3}`
	if line, err := Read("r", []byte(good)); err != nil || line.State != Cold || line.SlowStartMilliseconds != 1500 {
		t.Fatal(line, err)
	}
	for bad, named := range map[string]string{
		`{"address":"here","zone":"","service":"a/b","slots":0,"state":"gone","cold":"-1s","call":1}`: "address: zone: service: slots: state: cold:",
		`{"address":"10.0.0.1:80","address":"10.0.0.1:80"}`:                                           "address",
		`{"adress":"10.0.0.1:80"}`:              "adress",
		`{"call":-1}`:                           "call",
		`[]`:                                    "",
		good + good:                             "after the end",
		strings.Repeat(" ", MaximumCall) + good: "at most",
	} {
		_, err := Read("r", []byte(bad))
		if err == nil || !apierror.Is(err, apierror.Malformed) && !apierror.Is(err, apierror.TooLarge) {
			t.Errorf("%s: %v", bad, err)
			continue
		}
		for _, word := range strings.Fields(named) {
			if !strings.Contains(err.Error(), word) {
				t.Errorf("%s: %q is not named in %v", bad, word, err)
			}
		}
	}
	if _, err := Read("a b", []byte(good)); err == nil {
		t.Error("an id with a blank")
	}
}
