package histories

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"wardtray/config"
)

// Violation is one violation of a rule. Rule is one of Rules, Detail describes what violated it.
type Violation struct {
	Rule   string
	Detail string
}

// Checker checks a growing history: each run and each answer when it is recorded, and the remaining rules at the end.
// It takes no lock.
type Checker struct {
	history *History
	// Violations are the violations found so far.
	Violations []Violation
	// known holds the operations in effect and their epochs.
	known map[string]uint64
	// By the name of the request: runs holds the runs that started, answers the attempts with a complete answer, requests
	// all attempts that were sent, and atMostOnce whether the request is an at-most-once request.
	runs       map[string][]*Run
	answers    map[string][]*ClientAttempt
	requests   map[string][]*ClientAttempt
	atMostOnce map[string]bool
	// drains holds the first drainsSeen drains of the history, by runner.
	drains     map[string][]*Drain
	drainsSeen int
	// epochs holds the greatest epoch under which each daemon has sent work.
	epochs map[string]workedEpoch
	specs  specTimeline
}

// workedEpoch is an epoch under which a daemon has sent work, and the time at which it first did.
type workedEpoch struct {
	epoch uint64
	since time.Time
}

// NewChecker returns a checker of a history. known holds the operations that took effect and their epochs; the caller
// may add to it while the history grows.
func NewChecker(history *History, known map[string]uint64) *Checker {
	return &Checker{
		history:    history,
		known:      known,
		runs:       map[string][]*Run{},
		answers:    map[string][]*ClientAttempt{},
		requests:   map[string][]*ClientAttempt{},
		atMostOnce: map[string]bool{},
		drains:     map[string][]*Drain{},
		epochs:     map[string]workedEpoch{},
		specs:      newSpecTimeline(),
	}
}

// Check checks a complete history and returns all violations.
func Check(history *History) []Violation {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	sort.SliceStable(history.Runs,
		func(left, right int) bool { return history.Runs[left].At.Before(history.Runs[right].At) })
	checker := NewChecker(history, history.Final.Known)
	for _, attempt := range history.Answers {
		checker.ObserveRequest(attempt)
	}
	for _, run := range history.Runs {
		checker.ObserveRun(run)
	}
	for _, attempt := range history.Answers {
		checker.ObserveAnswer(attempt)
	}
	for _, attempt := range history.Answers {
		checker.CheckDisconnect(attempt, attempt.DisconnectedAt.Add(DisconnectBound))
	}
	checker.Finish()
	return checker.Violations
}

// apply checks some rules, in the order of Rules.
func (checker *Checker) apply(rules map[string]func(checker *Checker, report reportFunc)) {
	for _, rule := range Rules {
		if check := rules[rule]; check != nil {
			check(checker, checker.reporter(rule))
		}
	}
}

// reportFunc records a violation of the rule that is being checked.
type reportFunc func(format string, values ...any)

// reporter returns the function that records violations of a rule.
func (checker *Checker) reporter(rule string) reportFunc {
	return func(format string, values ...any) {
		checker.Violations = append(checker.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)})
	}
}

// ObserveRequest records that a request was sent, so that its runs can be checked before its answer is complete.
func (checker *Checker) ObserveRequest(attempt *ClientAttempt) {
	checker.atMostOnce[attempt.Request] = checker.atMostOnce[attempt.Request] || attempt.AtMostOnce
	checker.requests[attempt.Request] = append(checker.requests[attempt.Request], attempt)
}

// ObserveRun checks a newly recorded run.
func (checker *Checker) ObserveRun(run *Run) {
	if run.Started {
		checker.runs[run.Request] = append(checker.runs[run.Request], run)
	}
	checker.refresh()
	checker.apply(bind(runRules, run))
}

// ObserveAnswer checks a newly recorded, complete answer.
func (checker *Checker) ObserveAnswer(attempt *ClientAttempt) {
	checker.answers[attempt.Request] = append(checker.answers[attempt.Request], attempt)
	checker.refresh()
	checker.apply(bind(answerRules, attempt))
}

// Finish checks the rules that need the complete history.
func (checker *Checker) Finish() {
	checker.refresh()
	checker.apply(finalRules)
}

// bind returns the rules about one kind of observation as functions without that parameter, applied to observation.
func bind[Observation any](
	rules map[string]func(checker *Checker, observation Observation, report reportFunc),
	observation Observation,
) map[string]func(checker *Checker, report reportFunc) {
	bound := make(map[string]func(checker *Checker, report reportFunc), len(rules))
	for rule, check := range rules {
		bound[rule] = func(checker *Checker, report reportFunc) { check(checker, observation, report) }
	}
	return bound
}

// refresh updates the checker's indices of draining runners and of specs.
func (checker *Checker) refresh() {
	if checker.drainsSeen != len(checker.history.Drains) {
		checker.drainsSeen = len(checker.history.Drains)
		checker.drains = map[string][]*Drain{}
		for _, drain := range checker.history.Drains {
			checker.drains[drain.Runner] = append(checker.drains[drain.Runner], drain)
		}
	}
	checker.specs.refresh(checker.history.Orders, checker.known)
}

// specsInForce returns the specs under which a daemon may act at a moment, where each remains permitted for a bound
// after the acknowledgement of its successor. A daemon without a path to the control machines may act under the specs
// of the moment at which it lost the path.
func (checker *Checker) specsInForce(daemon string, at time.Time, bound time.Duration) []specVersion {
	return checker.specs.between(at, at, bound+checker.history.isolatedFor(daemon, at))
}

// permittedBySomeSpec reports whether some spec under which a daemon may act at a moment permits something.
func (checker *Checker) permittedBySomeSpec(
	daemon string,
	at time.Time,
	bound time.Duration,
	permits func(catalog *config.Catalog) bool,
) bool {
	return slices.ContainsFunc(checker.specsInForce(daemon, at, bound),
		func(version specVersion) bool { return permits(version.catalog) })
}
