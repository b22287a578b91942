package histories

import (
	"fmt"
	"sort"
	"time"

	"wardtray/config"
)

// Violation is one broken rule.
type Violation struct {
	Rule   string
	Detail string
}

// Checker looks at a history while it grows: at each run and each answer as it comes, and at the rest at
// the end. Simulated and real histories are checked by the same rules.
type Checker struct {
	history    *History
	Violations []Violation
	// Known are the operations in effect and their epochs.
	known         map[string]uint64
	runs          map[string][]*Run
	answers       map[string][]*Answer
	once          map[string]bool
	requests      map[string][]*Answer
	drains        map[string][]*Drain
	drainsSeen    int
	greatest      map[string]uint64
	greatestSince map[string]time.Time
	timeline      []specVersion
	changesSeen   int
}

// NewChecker makes a checker of a history; known gives the operations that took effect, and may grow.
func NewChecker(history *History, known map[string]uint64) *Checker {
	return &Checker{
		history:       history,
		known:         known,
		runs:          map[string][]*Run{},
		answers:       map[string][]*Answer{},
		once:          map[string]bool{},
		requests:      map[string][]*Answer{},
		drains:        map[string][]*Drain{},
		greatest:      map[string]uint64{},
		greatestSince: map[string]time.Time{},
		changesSeen:   -1,
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

func (checker *Checker) apply(rules map[string]func(checker *Checker, broken reportFunc)) {
	for _, rule := range Rules {
		if check := rules[rule]; check != nil {
			check(checker, func(format string, values ...any) {
				checker.Violations = append(checker.Violations,
					Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)})
			})
		}
	}
}

type reportFunc func(format string, values ...any)

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

// specVersion is a spec, and when it was sent and acknowledged; the latter is zero where nobody was told.
type specVersion struct {
	epoch              uint64
	catalog            *config.Catalog
	sent, acknowledged time.Time
}

// refresh brings the checker's views of leaving runners and specs up to date.
func (checker *Checker) refresh() {
	if checker.drainsSeen != len(checker.history.Drains) {
		checker.drainsSeen = len(checker.history.Drains)
		checker.drains = map[string][]*Drain{}
		for _, drain := range checker.history.Drains {
			checker.drains[drain.Runner] = append(checker.drains[drain.Runner], drain)
		}
	}
	settled := len(checker.known)
	for _, order := range checker.history.Orders {
		if order.Outcome == "accepted" {
			settled++
		}
	}
	if settled != checker.changesSeen {
		checker.changesSeen = settled
		checker.timeline = timeline(checker.history.Orders, checker.known)
	}
}

// timeline returns every spec that was ever in effect, in the order of epochs.
func timeline(orders []*Order, known map[string]uint64) []specVersion {
	type change struct {
		order *Order
		epoch uint64
	}
	var changes []change
	for _, order := range orders {
		epoch, found := known[order.Operation]
		if order.Outcome == "accepted" {
			epoch, found = order.Epoch, true
		}
		if found && order.Verb != "get" && order.Verb != "operation" {
			changes = append(changes, change{order, epoch})
		}
	}
	sort.SliceStable(changes, func(left, right int) bool { return changes[left].epoch < changes[right].epoch })
	versions := make([]specVersion, 0, len(changes))
	present := &config.Spec{}
	for _, change := range changes {
		if change.order.Verb == "apply" && change.order.Spec != nil {
			present = change.order.Spec
		} else if change.order.Change != nil {
			present, _ = change.order.Change.Apply(present)
		} else {
			toggled := *present
			toggled.Zones = append([]config.Zone{}, present.Zones...)
			for index := range toggled.Zones {
				if toggled.Zones[index].Name == change.order.Zone {
					toggled.Zones[index].Closed = change.order.Verb == "close"
				}
			}
			present = &toggled
		}
		one := specVersion{epoch: change.epoch, catalog: config.NewCatalog(present), sent: change.order.Sent}
		if change.order.Outcome == "accepted" {
			one.acknowledged = change.order.Got
		}
		versions = append(versions, one)
	}
	return versions
}

// specsInForce returns the specs by which a daemon's work at a moment may go, a bound after each acknowledgement. One
// that has no path to the core may go by what it had when it lost that.
func (checker *Checker) specsInForce(daemon string, at time.Time, bound time.Duration) []specVersion {
	return checker.specsBetween(at, at, bound+checker.isolatedFor(daemon, at))
}

// isolatedFor returns for how long, at a moment, a daemon has had no path to the core.
func (checker *Checker) isolatedFor(daemon string, at time.Time) time.Duration {
	for index := len(checker.history.Isolations) - 1; index >= 0; index-- {
		one := checker.history.Isolations[index]
		if one.Daemon == daemon && one.From.Before(at) && !at.After(one.Until) {
			return at.Sub(one.From)
		}
	}
	return 0
}

// specsBetween returns the specs by which work may have gone at some moment of a span of time.
func (checker *Checker) specsBetween(from, until time.Time, bound time.Duration) []specVersion {
	floor := 0
	for index, version := range checker.timeline {
		if !version.acknowledged.IsZero() && from.Sub(version.acknowledged) > bound {
			floor = index
		}
	}
	var fit []specVersion
	for _, version := range checker.timeline[min(floor, len(checker.timeline)):] {
		if !version.sent.After(until) {
			fit = append(fit, version)
		}
	}
	return fit
}

func (checker *Checker) permittedBySomeSpec(
	daemon string,
	at time.Time,
	bound time.Duration,
	permits func(catalog *config.Catalog) bool,
) bool {
	for _, version := range checker.specsInForce(daemon, at, bound) {
		if permits(version.catalog) {
			return true
		}
	}
	return false
}

// outdatedFor returns for how long a piece of work at a moment was against the acknowledged specs.
func (checker *Checker) outdatedFor(at time.Time, permits func(catalog *config.Catalog) bool) time.Duration {
	longest := time.Duration(0)
	for index := len(checker.timeline) - 1; index >= 0; index-- {
		version := checker.timeline[index]
		if permits(version.catalog) && !version.sent.After(at) {
			break
		}
		if !version.acknowledged.IsZero() && version.acknowledged.Before(at) {
			longest = max(longest, at.Sub(version.acknowledged))
		}
	}
	return longest
}

// excusedByFault reports whether a fault excuses something at a daemon in a span of time.
func (checker *Checker) excusedByFault(daemon string, from, until time.Time) bool {
	for _, fault := range checker.history.Faults {
		if fault.Daemon == daemon && !until.Before(fault.At) && from.Before(fault.Until.Add(faultShadow)) {
			return true
		}
	}
	return false
}

// runnerFault returns a fault of a runner that overlaps a span of time.
func (checker *Checker) runnerFault(runner string, from, until time.Time) (Fault, bool) {
	for _, fault := range checker.history.Faults {
		if fault.Runner == runner && !until.Before(fault.At) && from.Before(fault.Until.Add(faultShadow)) {
			return fault, true
		}
	}
	return Fault{}, false
}

// canUseRunners reports whether a spec lets the backend use its runners at all.
func (checker *Checker) canUseRunners(catalog *config.Catalog) bool {
	for _, backend := range catalog.Backends {
		if backend.AllowsService(checker.history.Service) && backend.Weights == checker.history.Weights {
			return true
		}
	}
	return false
}

// leastFreeShare returns the least part of the backend's slots that was free over a span of time, in zones that were
// open all the while; 0 where nobody looked.
func (checker *Checker) leastFreeShare(from, until time.Time) float64 {
	least, seen := 1.0, false
	versions := checker.specsBetween(from, until, SpecBound)
	first := sort.Search(len(checker.history.CapacitySamples),
		func(index int) bool { return checker.history.CapacitySamples[index].At.After(from) })
	for _, room := range checker.history.CapacitySamples[max(0, first-1):] {
		free, slots := 0, 0
		for zone, count := range room.Free {
			open := true
			for _, version := range versions {
				open = open && version.catalog.IsOpen(zone) && checker.canUseRunners(version.catalog)
			}
			if open {
				free, slots = free+count, slots+room.Slots[zone]
			}
		}
		seen = true
		least = min(least, float64(free)/float64(max(1, slots)))
		if room.At.After(until) {
			break
		}
	}
	if !seen {
		return 0
	}
	return least
}
