package histories

import (
	"testing"
	"time"

	"wardtray/config"
)

// clean returns a small history without violations: one request a second from 0 to 39 s, of which the one at 3 s has
// the name D, and the acknowledged closing of zone b at 20.1 s.
func clean() *History {
	started := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	history := &History{Started: started, Zones: []string{"a"}, Service: "good", Weights: "w"}
	document := &config.Spec{
		Zones:    []config.Zone{{Name: "a"}, {Name: "b"}},
		Backends: []config.Backend{{Name: "p", Model: "m", Weights: "w", Services: []string{"good"}}},
		Routes:   []config.Route{{Name: "l", Backend: "p"}, {Name: "k", Backend: "p"}},
	}
	history.Orders = []*OperatorRequest{
		{
			Operation: "first",
			Verb:      "apply",
			HasBase:   true,
			Spec:      document,
			Sent:      at(0),
			Got:       at(0.1),
			Outcome:   "accepted",
			Epoch:     1,
		},
		{Operation: "closing", Verb: "close", Zone: "b", Sent: at(20), Got: at(20.1), Outcome: "accepted", Epoch: 2},
		{
			Operation: "losing",
			Verb:      "apply",
			Spec:      document,
			HasBase:   true,
			Base:      1,
			Marker:    "lost-lane",
			Sent:      at(20),
			Got:       at(20.2),
			Outcome:   "refused",
		},
	}
	for number := range 40 {
		request := string(rune('A' + number))
		epoch := uint64(1)
		if number >= 21 {
			epoch = 2
		}
		run := &Run{
			At:             at(float64(number)),
			Request:        request,
			Route:          "l",
			Backend:        "p",
			Model:          "m",
			Weights:        "w",
			Runner:         "r1",
			IntendedRunner: "r1",
			Service:        "good",
			Zone:           "a",
			Daemon:         "d1",
			Epoch:          epoch,
			Started:        true,
			Finished:       at(float64(number) + 0.5),
			Complete:       true,
			Events:         2,
			Capacity:       10,
		}
		history.Runs = append(history.Runs, run)
		history.Answers = append(
			history.Answers,
			&ClientAttempt{
				Request:       request,
				Route:         "l",
				AtMostOnce:    true,
				Daemon:        "d1",
				Zone:          "a",
				LatencyTarget: 3 * time.Second,
				Sent:          at(float64(number)),
				Got:           at(float64(number) + 0.6),
				Status:        200,
				IDs:           []int{1, 2, 3},
				Runs:          []string{"x", "x", "x"},
				Done:          true,
			},
		)
	}
	for number := range 400 {
		history.CapacitySamples = append(
			history.CapacitySamples,
			CapacitySample{
				At:    at(float64(number) / 10),
				Free:  map[string]int{"a": 4, "b": 4},
				Slots: map[string]int{"a": 8, "b": 8},
			},
		)
	}
	history.OutageEnds = []OutageEnd{{At: at(18)}}
	history.Final = Final{
		WasRead: true,
		Epoch:   2,
		Routes:  []string{"lane"},
		Known:   map[string]uint64{"first": 1, "closing": 2},
	}
	return history
}

func TestCleanHistoryPasses(t *testing.T) {
	if violations := Check(clean()); len(violations) > 0 {
		t.Fatalf("violations in a clean history: %v", violations)
	}
}

// A refusal because there is no head, disk or capacity (503) applies to one attempt of a change; a refusal of the
// change itself (409) applies to all. A change that took effect despite a refusal of all attempts must be reported.
func TestRefusedInEffect(t *testing.T) {
	t.Parallel()
	const operation = "sent-again"
	stale, noHead := OperatorRequest{Outcome: "refused", HTTPStatus: 409},
		OperatorRequest{Outcome: "refused", HTTPStatus: 503}
	accepted, unknown := OperatorRequest{Outcome: "accepted"}, OperatorRequest{Outcome: "unknown"}
	for name, test := range map[string]struct {
		attempts []OperatorRequest
		broken   bool
	}{
		"refused by its base, not sent again": {[]OperatorRequest{stale}, true},
		"refused by its base, then accepted":  {[]OperatorRequest{stale, accepted}, true},
		"no head, not sent again":             {[]OperatorRequest{noHead}, true},
		"no head, then accepted":              {[]OperatorRequest{noHead, accepted}, false},
		"unknown, then no head":               {[]OperatorRequest{unknown, noHead}, false},
		"no head, twice":                      {[]OperatorRequest{noHead, noHead}, true},
		"no head, then refused by its base":   {[]OperatorRequest{noHead, stale}, true},
		"no head; accepted another":           {[]OperatorRequest{noHead, {Operation: "other", Outcome: "accepted"}}, true},
	} {
		history := clean()
		history.Final.Known[operation] = 7
		for _, request := range test.attempts {
			if request.Operation == "" {
				request.Operation = operation
			}
			history.Orders = append(history.Orders, &request)
		}
		checker := NewChecker(history, history.Final.Known)
		checkRefusals(checker, checker.reporter("refused-in-effect"))
		if found := len(checker.Violations) > 0; found != test.broken {
			t.Errorf("%s: %v", name, checker.Violations)
		}
	}
}

// For each rule, a clean history is changed so that it violates just this rule. The checker must report this rule and
// no other.
func TestEveryRuleIsNamedOnABrokenHistory(t *testing.T) {
	started := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	changes := map[string]func(history *History){
		"run-twice": func(history *History) {
			again := *history.Runs[3]
			history.Runs = append(history.Runs, &again)
		},
		"ran-after-refusal": func(history *History) {
			history.CapacitySamples = nil
			history.Answers[3] = &ClientAttempt{
				Request:    "D",
				Status:     429,
				Kind:       "patience_short",
				Ran:        "did not run",
				RetryAfter: true,
				Sent:       at(3),
				Got:        at(4),
			}
		},
		"not-whole": func(history *History) { history.Runs[3].Complete = false },
		"spliced": func(history *History) {
			history.Answers[3].Runs = []string{"x", "x", "y"}
		},
		"not-allowed": func(history *History) { history.Runs[3].Service = "bad" },
		"wrong-runner": func(history *History) {
			history.Runs[3].IntendedRunner = "r2"
		},
		"leaving": func(history *History) {
			history.Drains = append(history.Drains, &Drain{At: at(2.5), Back: at(8.2), Runner: "r1"})
		},
		"change-ignored": func(history *History) { history.Runs[39].Weights = "v" },
		"slipped-back": func(history *History) {
			history.Runs[10].Epoch = 2
		},
		"refused-in-effect": func(history *History) {
			history.Final.Routes = append(history.Final.Routes, "lost-lane")
		},
		"two-on-one-base": func(history *History) {
			history.Orders[2].Outcome, history.Orders[2].Epoch, history.Orders[2].Base = "accepted", 2, 0
			history.Final.Known["losing"] = 2
			history.Orders[1].Epoch = 2
		},
		"closed-zone": func(history *History) { history.Runs[30].Zone = "b" },
		"repeats": func(history *History) {
			for range 6 {
				again := *history.Runs[3]
				again.Started = false
				history.Runs = append(history.Runs, &again)
			}
		},
		"cold-flooded": func(history *History) {
			history.Runs[3].WarmingUp, history.Runs[3].Capacity, history.Runs[3].Concurrent = true, 1, 3
		},
		"dropped": func(history *History) {
			history.Answers = append(
				history.Answers,
				&ClientAttempt{
					Request:        "lost",
					Daemon:         "d1",
					ConnectionLost: true,
					RequestSent:    true,
					Sent:           at(3),
					Got:            at(4),
				},
			)
		},
		"forgotten": func(history *History) { delete(history.Final.Known, "closing") },
		"down":      func(history *History) { history.Zones = append(history.Zones, "b") },
		"turned-away": func(history *History) {
			history.Answers = append(
				history.Answers,
				&ClientAttempt{
					Request: "away",
					Status:  404,
					Kind:    "unknown_lane",
					Route:   "l",
					Daemon:  "d1",
					Sent:    at(3),
					Got:     at(3),
				},
			)
		},
		"no-return-time": func(history *History) {
			history.CapacitySamples = nil
			history.Answers = append(history.Answers,
				&ClientAttempt{Request: "away", Status: 429, Kind: "patience_short", Daemon: "d1", Sent: at(3), Got: at(3)})
		},
		"held-back": func(history *History) {
			history.Faults = append(history.Faults, Fault{At: at(3.1), Until: at(4), Runner: "r1"})
			history.Runs[3].Complete = false
			history.Answers[3] = &ClientAttempt{
				Request: "D",
				Status:  504,
				Kind:    "outcome_unknown",
				Ran:     "unknown",
				Daemon:  "d1",
				Sent:    at(3),
				Got:     at(8),
			}
		},
		"ended-early": func(history *History) {
			history.Faults = append(history.Faults,
				Fault{At: at(3.1), Until: at(20), Runner: "r1", DetectionTime: SilentDetectionTime})
			history.Runs[3].Complete, history.Runs[3].Canceled = false, at(5)
			history.Runs[3].Finished = time.Time{}
			history.Answers[3] = &ClientAttempt{
				Request:       "D",
				AtMostOnce:    true,
				LatencyTarget: 2 * time.Second,
				Status:        504,
				Kind:          "outcome_unknown",
				Ran:           "unknown",
				Daemon:        "d1",
				Sent:          at(3),
				Got:           at(5),
			}
		},
		"resumed":        func(history *History) { history.Runs[3].After = 2 },
		"left-requester": func(history *History) { history.Answers[3].DisconnectedAt = at(2.2) },
		"past-deadline": func(history *History) {
			history.Answers[3].Started, history.Answers[3].Deadline, history.Answers[3].Last = at(
				3,
			), 300*time.Millisecond, at(
				3.5,
			)
		},
	}
	for _, rule := range Rules {
		violating := clean()
		changes[rule](violating)
		violations := Check(violating)
		if len(violations) == 0 {
			t.Errorf("%s: violation not detected", rule)
		}
		for _, violation := range violations {
			if violation.Rule != rule {
				t.Errorf("%s: reported as %s: %s", rule, violation.Rule, violation.Detail)
			}
		}
	}
}

// resumed returns a history in which request D was continued by another run after its first event.
func resumed() *History {
	history := clean()
	first := history.Runs[3]
	second := *first
	second.Runner, second.IntendedRunner, second.Name, second.After, second.At = "r2", "r2", "y", 1, first.At.Add(
		200*time.Millisecond,
	)
	first.Name, first.Complete = "x", false
	history.Runs = append(history.Runs, &second)
	attempt := history.Answers[3]
	attempt.AtMostOnce, attempt.Resumable, attempt.HeaderRunner, attempt.Runs = false, true, "r1", []string{"x", "y", "y"}
	return history
}

// A resumed stream must continue directly after the last received event, without gaps or repeats, and its response
// header must name the first runner.
func TestResumedStreams(t *testing.T) {
	if violations := Check(resumed()); len(violations) > 0 {
		t.Fatalf("violations in a correct resumption: %v", violations)
	}
	for name, test := range map[string]struct {
		change func(history *History)
		rule   string
	}{
		"restarted":                   {func(history *History) { history.Runs[len(history.Runs)-1].After = 0 }, "spliced"},
		"began too far on":            {func(history *History) { history.Runs[len(history.Runs)-1].After = 2 }, "spliced"},
		"an event is missing":         {func(history *History) { history.Answers[3].IDs = []int{1, 3, 4} }, "spliced"},
		"an event is repeated":        {func(history *History) { history.Answers[3].IDs = []int{1, 1, 2} }, "spliced"},
		"an unknown run":              {func(history *History) { history.Answers[3].Runs[2] = "z" }, "spliced"},
		"header of the second runner": {func(history *History) { history.Answers[3].HeaderRunner = "r2" }, "resumed"},
		"not resumable":               {func(history *History) { history.Answers[3].Resumable = false }, "resumed"},
		"incomplete":                  {func(history *History) { history.Runs[len(history.Runs)-1].Events = 3 }, "not-whole"},
	} {
		violating := resumed()
		test.change(violating)
		found := false
		for _, violation := range Check(violating) {
			found = found || violation.Rule == test.rule
		}
		if !found {
			t.Errorf("%s: not reported as %s: %v", name, test.rule, Check(violating))
		}
	}
}

// A daemon without a path to the control machines may act under the spec that it had when it lost the path, but not
// under an older one. This holds only for that daemon, and only until the path is restored.
func TestDaemonWithoutTheCore(t *testing.T) {
	started := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		daemon      string
		from, until float64
		rule        string
	}{
		"isolated since before the closing": {"d1", 19, 31, ""},
		"another daemon is isolated":        {"d2", 19, 31, "closed-zone"},
		"reconnected":                       {"d1", 19, 29, "closed-zone"},
		"isolated only after the closing":   {"d1", 27, 31, "closed-zone"},
	} {
		history := clean()
		history.Runs[30].Zone = "b"
		history.Isolations = []*Isolation{{Daemon: test.daemon, From: at(test.from), Until: at(test.until)}}
		found := ""
		for _, violation := range Check(history) {
			found = violation.Rule
		}
		if found != test.rule {
			t.Errorf("%s: %q instead of %q", name, found, test.rule)
		}
	}
}

// A request that can't be repeated may be sent to a frozen runner, which never begins to work on it. Its final answer
// is due when its time is over, not before; without a silent runner it is due within its latency target.
func TestAnswerOfARequestSentInSilence(t *testing.T) {
	for name, trial := range map[string]struct {
		answered   float64
		silent     bool
		isHeldBack bool
	}{
		"in time":            {3 + 4, true, false},
		"beyond its time":    {3 + 4 + 2.1, true, true},
		"no silent runner":   {3 + 4 + 0.1, false, true},
		"at its target only": {3 + 2, false, false},
	} {
		history := clean()
		at := func(seconds float64) time.Time {
			return history.Started.Add(time.Duration(seconds * float64(time.Second)))
		}
		if trial.silent {
			history.Faults = []Fault{{At: at(2), Until: at(30), Runner: "r1", DetectionTime: SilentDetectionTime}}
		}
		history.Runs = append(history.Runs[:3], history.Runs[4:]...)
		history.Answers[3] = &ClientAttempt{Request: "D", AtMostOnce: true, LatencyTarget: 2 * time.Second, Status: 504,
			Kind: "outcome_unknown", Ran: "unknown", Daemon: "d1", Sent: at(3), Got: at(trial.answered)}
		isHeldBack := false
		for _, violation := range Check(history) {
			isHeldBack = isHeldBack || violation.Rule == "held-back"
		}
		if isHeldBack != trial.isHeldBack {
			t.Errorf("%s: held back %v", name, isHeldBack)
		}
	}
}
