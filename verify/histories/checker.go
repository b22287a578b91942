package histories

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"wardtray/config"
)

// Violation is one broken rule: its name, one of Rules, and what broke it.
type Violation struct {
	Rule   string
	Detail string
}

// Checker looks at a history while it grows: at each run and each answer as it comes, and at the rest at the end. It
// takes no lock.
type Checker struct {
	history *History
	// Violations are those found so far.
	Violations []Violation
	// known are the operations in effect and their epochs.
	known map[string]uint64
	// By request: the runs that started, the answers that are complete, and all answers from their sending on; once has
	// those that may run at most once.
	runs     map[string][]*Run
	answers  map[string][]*Answer
	requests map[string][]*Answer
	once     map[string]bool
	// drains are by runner; drainsSeen is how many of the history they hold.
	drains     map[string][]*Drain
	drainsSeen int
	// epochs are the greatest by which each daemon has worked.
	epochs map[string]workedEpoch
	specs  specTimeline
}

// workedEpoch is an epoch by which a daemon has worked, and when it did so first.
type workedEpoch struct {
	epoch uint64
	since time.Time
}

// NewChecker makes a checker of a history; known gives the operations that took effect, and may grow.
func NewChecker(history *History, known map[string]uint64) *Checker {
	return &Checker{
		history:  history,
		known:    known,
		runs:     map[string][]*Run{},
		answers:  map[string][]*Answer{},
		requests: map[string][]*Answer{},
		once:     map[string]bool{},
		drains:   map[string][]*Drain{},
		epochs:   map[string]workedEpoch{},
		specs:    newSpecTimeline(),
	}
}

// Check checks a whole history at once.
func Check(history *History) []Violation {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	sort.SliceStable(history.Runs,
		func(left, right int) bool { return history.Runs[left].At.Before(history.Runs[right].At) })
	checker := NewChecker(history, history.Final.Known)
	for _, answer := range history.Answers {
		checker.ObserveRequest(answer)
	}
	for _, run := range history.Runs {
		checker.ObserveRun(run)
	}
	for _, answer := range history.Answers {
		checker.ObserveAnswer(answer)
	}
	for _, answer := range history.Answers {
		checker.CheckDeparture(answer, answer.HungUpAt.Add(DepartureBound))
	}
	checker.Finish()
	return checker.Violations
}

// apply checks those of some rules that Rules names, in its order.
func (checker *Checker) apply(rules map[string]func(checker *Checker, broken reportFunc)) {
	for _, rule := range Rules {
		if check := rules[rule]; check != nil {
			check(checker, checker.reporter(rule))
		}
	}
}

// reportFunc records a violation of the rule that is being checked.
type reportFunc func(format string, values ...any)

// reporter returns what records violations of a rule.
func (checker *Checker) reporter(rule string) reportFunc {
	return func(format string, values ...any) {
		checker.Violations = append(checker.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)})
	}
}

// ObserveRequest notes that a request is on its way, so that its runs can be checked before its answer is there.
func (checker *Checker) ObserveRequest(answer *Answer) {
	checker.once[answer.Request] = checker.once[answer.Request] || answer.Once
	checker.requests[answer.Request] = append(checker.requests[answer.Request], answer)
}

// ObserveRun checks a run that has just been recorded.
func (checker *Checker) ObserveRun(run *Run) {
	if run.Started {
		checker.runs[run.Request] = append(checker.runs[run.Request], run)
	}
	checker.refresh()
	checker.apply(bind(onRun, run))
}

// ObserveAnswer checks an answer that has just been recorded.
func (checker *Checker) ObserveAnswer(answer *Answer) {
	checker.answers[answer.Request] = append(checker.answers[answer.Request], answer)
	checker.refresh()
	checker.apply(bind(onAnswer, answer))
}

// Finish checks what only the whole history shows.
func (checker *Checker) Finish() {
	checker.refresh()
	checker.apply(atEnd)
}

// bind returns rules about something as rules about the one that was seen.
func bind[Seen any](
	rules map[string]func(checker *Checker, seen Seen, broken reportFunc),
	seen Seen,
) map[string]func(checker *Checker, broken reportFunc) {
	bound := make(map[string]func(checker *Checker, broken reportFunc), len(rules))
	for rule, check := range rules {
		bound[rule] = func(checker *Checker, broken reportFunc) { check(checker, seen, broken) }
	}
	return bound
}

// refresh brings the checker's views of draining runners and of the configuration up to date.
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

// specsInForce returns the specs by which a daemon's work at a moment may go, a bound after each acknowledgement. One
// that has no path to the core may go by what it had when it lost that.
func (checker *Checker) specsInForce(daemon string, at time.Time, bound time.Duration) []specVersion {
	return checker.specs.between(at, at, bound+checker.history.isolatedFor(daemon, at))
}

// permittedBySomeSpec reports whether a spec by which a daemon's work at a moment may go permits something.
func (checker *Checker) permittedBySomeSpec(
	daemon string,
	at time.Time,
	bound time.Duration,
	permits func(catalog *config.Catalog) bool,
) bool {
	return slices.ContainsFunc(checker.specsInForce(daemon, at, bound),
		func(version specVersion) bool { return permits(version.catalog) })
}
