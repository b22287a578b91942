package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wardtray/config"
	"wardtray/coordination/reservation"
	"wardtray/proxy/admission"
)

// scriptedReservations decides every reservation with the same outcome and records the requests for reservations.
type scriptedReservations struct {
	outcome reservation.Outcome

	mutex          sync.Mutex
	clientAttempts []reservation.ClientAttempt
	// released and finished count the calls of Release and Finish.
	released, finished int
}

func (scripted *scriptedReservations) Reserve(_ reservation.Key,
	clientAttempt reservation.ClientAttempt) *reservation.Reservation {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	scripted.clientAttempts = append(scripted.clientAttempts, clientAttempt)
	return reservation.Decided(scripted.outcome, 7*time.Second)
}

func (scripted *scriptedReservations) Release(*reservation.Reservation) {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	scripted.released++
}

func (scripted *scriptedReservations) Finish(*reservation.Reservation) {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	scripted.finished++
}

// counts returns the numbers of reservations that were requested, released and finished.
func (scripted *scriptedReservations) counts() string {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	return fmt.Sprintf("%d %d %d", len(scripted.clientAttempts), scripted.released, scripted.finished)
}

// firstClientAttempt and clientRetry are the headers of the first attempt of a client and of a retry.
var (
	firstClientAttempt = map[string]string{admission.HeaderAttempt: "1", admission.HeaderTerm: "5"}
	clientRetry        = map[string]string{admission.HeaderAttempt: "2", admission.HeaderTerm: "5"}
)

// The outcome of its reservation decides whether a request is sent. The client's statement about this attempt decides
// what a refusal reports about earlier client attempts: a false report would let the client run the request twice.
func TestReservedRequests(t *testing.T) {
	t.Parallel()
	ran := events(1, done(1), true)
	const (
		didNotRun = `"ran":"did not run"`
		unknown   = `"ran":"unknown"`
	)
	for name, trial := range map[string]struct {
		outcome reservation.Outcome
		headers map[string]string
		script  script
		status  int
		body    string
		runs    int64
		counts  string
	}{
		"first, granted":       {reservation.Granted, firstClientAttempt, ran, 200, "event: done", 1, "1 0 1"},
		"first, rejected":      {reservation.Granted, firstClientAttempt, rejects, 503, didNotRun, 1, "1 1 0"},
		"first, ambiguous":     {reservation.Granted, firstClientAttempt, hangsUp, 504, unknown, 1, "1 0 1"},
		"first, taken":         {reservation.Taken, firstClientAttempt, ran, 409, unknown, 0, "1 1 0"},
		"first, late":          {reservation.InDoubt, firstClientAttempt, ran, 504, unknown, 0, "1 1 0"},
		"first, unreachable":   {reservation.Unreachable, firstClientAttempt, ran, 503, didNotRun, 0, "1 1 0"},
		"first, full":          {reservation.Full, firstClientAttempt, ran, 503, didNotRun, 0, "1 1 0"},
		"first, none made":     {reservation.NotInForce, firstClientAttempt, ran, 200, "event: done", 1, "1 0 0"},
		"again, granted":       {reservation.Granted, clientRetry, ran, 200, "event: done", 1, "1 0 1"},
		"again, rejected":      {reservation.Granted, clientRetry, rejects, 503, didNotRun, 1, "1 1 0"},
		"again, taken":         {reservation.Taken, clientRetry, ran, 409, unknown, 0, "1 1 0"},
		"again, in doubt":      {reservation.InDoubt, clientRetry, ran, 504, unknown, 0, "1 1 0"},
		"again, unreachable":   {reservation.Unreachable, clientRetry, ran, 504, unknown, 0, "1 1 0"},
		"again, full":          {reservation.Full, clientRetry, ran, 503, unknown, 0, "1 1 0"},
		"again, none made":     {reservation.NotInForce, clientRetry, ran, 504, unknown, 0, "1 1 0"},
		"undeclared, granted":  {reservation.Granted, nil, ran, 200, "event: done", 1, "1 0 1"},
		"undeclared, in doubt": {reservation.InDoubt, nil, ran, 504, unknown, 0, "1 1 0"},
		"undeclared, none yet": {reservation.NotInForce, nil, ran, 200, "event: done", 1, "1 0 0"},
	} {
		runner := startRunner(t, "r1", trial.script)
		daemon := newDaemon(t, runner)
		reservations := &scriptedReservations{outcome: trial.outcome}
		daemon.Reservations = reservations
		status, body := daemon.sendWith(t, "once", "same", trial.headers)
		if status != trial.status || !strings.Contains(body, trial.body) || runner.reached.Load() != trial.runs {
			t.Errorf("%s: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
		if got := reservations.counts(); got != trial.counts {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// The reservation must receive the number and the term that the client states, and for a first client attempt the term
// before the client connected.
func TestReservationsLearnWhatTheClientStates(t *testing.T) {
	t.Parallel()
	daemon := newDaemon(t, startRunner(t, "r1", events(1, done(1), true)))
	reservations := &scriptedReservations{outcome: reservation.Granted}
	daemon.Reservations = reservations
	daemon.snapshot.Terms = []config.KnownTerm{{Term: 3}, {Term: 8, Since: time.Now().Add(time.Hour)}}
	for number, headers := range []map[string]string{firstClientAttempt, clientRetry, nil} {
		daemon.sendWith(t, "once", fmt.Sprint("r", number), headers)
	}
	want := []reservation.ClientAttempt{{Number: 1, Term: 5, NotBefore: 3}, {Number: 2, Term: 5}, {}}
	for index, got := range reservations.clientAttempts {
		if got != want[index] {
			t.Errorf("client attempt %d: %+v", index, got)
		}
	}
	if len(reservations.clientAttempts) != len(want) {
		t.Errorf("%d reservations", len(reservations.clientAttempts))
	}
}

// Requests that may run more than once are not reserved, and their refusals say nothing of earlier client attempts.
func TestRepeatableRequestsAreNotReserved(t *testing.T) {
	t.Parallel()
	daemon := newDaemon(t, startRunner(t, "r1", rejects))
	reservations := &scriptedReservations{outcome: reservation.Taken}
	daemon.Reservations = reservations
	if status, body := daemon.send(t, "free", "r1"); status != 503 || !strings.Contains(body, `"ran":"did not run"`) {
		t.Errorf("%d %s", status, body)
	}
	if got := reservations.counts(); got != "0 0 0" {
		t.Error(got)
	}
}

// A refusal before the state of earlier client attempts is known reports the execution as unknown; for a first client
// attempt it reports that the request did not run.
func TestRefusalsBeforeTheReservation(t *testing.T) {
	t.Parallel()
	for name, trial := range map[string]struct {
		route   string
		headers map[string]string
		ran     string
	}{
		"first, unknown route": {"nowhere", firstClientAttempt, "did not run"},
		"again, unknown route": {"nowhere", clientRetry, "unknown"},
		"first, about to stop": {"once", firstClientAttempt, "did not run"},
		"again, about to stop": {"once", clientRetry, "unknown"},
		"undeclared, stopping": {"once", nil, "unknown"},
		"repeatable, stopping": {"free", nil, "did not run"},
	} {
		daemon := newDaemon(t, startRunner(t, "r1", events(1, done(1), true)))
		daemon.Reservations = &scriptedReservations{outcome: reservation.Granted}
		daemon.Stopping.Store(trial.route != "nowhere")
		if _, body := daemon.sendWith(t, trial.route, "r", trial.headers); !strings.Contains(body, `"ran":"`+trial.ran+`"`) {
			t.Errorf("%s: %s", name, body)
		}
	}
}

// A refusal for lack of room states the time after which there is room, and responses state the term.
func TestFullReservationsNameTheTime(t *testing.T) {
	t.Parallel()
	daemon := newDaemon(t, startRunner(t, "r1", events(1, done(1), true)))
	daemon.Reservations = &scriptedReservations{outcome: reservation.Full}
	daemon.snapshot.Term = 12
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+daemon.address+"/v1/stream",
		strings.NewReader(`{"prompt":"x"}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range requestHeaders("once", "r1") {
		request.Header.Set(name, value)
	}
	request.Header.Set(admission.HeaderAttempt, "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(response.Body)
	if after, term := response.Header.Get("Retry-After"), response.Header.Get(admission.HeaderTerm); after != "7" ||
		term != "12" {
		t.Errorf("Retry-After %q, term %q", after, term)
	}
}
