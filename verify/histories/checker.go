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
// the end. Simulated and real histories are judged by the same rules.
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

// NewChecker makes a judge of a history; known gives the operations that took effect, and may grow.
func NewChecker(history *History, known map[string]uint64) *Checker {
	return &Checker{history: history, known: known, runs: map[string][]*Run{}, answers: map[string][]*Answer{}, once: map[string]bool{}, requests: map[string][]*Answer{},
		drains: map[string][]*Drain{}, greatest: map[string]uint64{}, greatestSince: map[string]time.Time{}, changesSeen: -1}
}

// Check judges a whole history at once.
func Check(history *History) []Violation {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	sort.SliceStable(history.Runs, func(left, right int) bool { return history.Runs[left].At.Before(history.Runs[right].At) })
	judge := NewChecker(history, history.Final.Known)
	for _, answer := range history.Answers {
		judge.ObserveRequest(answer)
	}
	for _, run := range history.Runs {
		judge.ObserveRun(run)
	}
	for _, answer := range history.Answers {
		judge.ObserveAnswer(answer)
	}
	for _, answer := range history.Answers {
		judge.CheckDeparture(answer, answer.HungUpAt.Add(DepartureBound))
	}
	judge.Finish()
	return judge.Violations
}

func (judge *Checker) apply(rules map[string]func(judge *Checker, broken reportFunc)) {
	for _, rule := range Rules {
		if check := rules[rule]; check != nil {
			check(judge, func(format string, values ...any) {
				judge.Violations = append(judge.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)})
			})
		}
	}
}

type reportFunc func(format string, values ...any)

// ObserveRequest notes that a request is on its way, so that its runs can be judged before its answer is there.
func (judge *Checker) ObserveRequest(answer *Answer) {
	judge.once[answer.Request] = judge.once[answer.Request] || answer.Once
	judge.requests[answer.Request] = append(judge.requests[answer.Request], answer)
}

// ObserveRun judges a run that has just been recorded.
func (judge *Checker) ObserveRun(run *Run) {
	if run.Started {
		judge.runs[run.Request] = append(judge.runs[run.Request], run)
	}
	judge.refresh()
	judge.apply(bind(onRun, run))
}

// ObserveAnswer judges an answer that has just been recorded.
func (judge *Checker) ObserveAnswer(answer *Answer) {
	judge.answers[answer.Request] = append(judge.answers[answer.Request], answer)
	judge.refresh()
	judge.apply(bind(onAnswer, answer))
}

// Finish judges what only the whole history shows.
func (judge *Checker) Finish() {
	judge.refresh()
	judge.apply(atEnd)
}

func bind[Seen any](rules map[string]func(judge *Checker, seen Seen, broken reportFunc), seen Seen) map[string]func(judge *Checker, broken reportFunc) {
	bound := make(map[string]func(judge *Checker, broken reportFunc), len(rules))
	for rule, check := range rules {
		bound[rule] = func(judge *Checker, broken reportFunc) { check(judge, seen, broken) }
	}
	return bound
}

// specVersion is a spec, and when it was sent and acknowledged; the latter is zero where nobody was told.
type specVersion struct {
	epoch              uint64
	catalog            *config.Catalog
	sent, acknowledged time.Time
}

// refresh brings the judge's views of leaving runners and specs up to date.
func (judge *Checker) refresh() {
	if judge.drainsSeen != len(judge.history.Drains) {
		judge.drainsSeen = len(judge.history.Drains)
		judge.drains = map[string][]*Drain{}
		for _, leave := range judge.history.Drains {
			judge.drains[leave.Runner] = append(judge.drains[leave.Runner], leave)
		}
	}
	settled := len(judge.known)
	for _, order := range judge.history.Orders {
		if order.Outcome == "accepted" {
			settled++
		}
	}
	if settled != judge.changesSeen {
		judge.changesSeen = settled
		judge.timeline = timeline(judge.history.Orders, judge.known)
	}
}

// timeline gives every spec that was ever in effect, in the order of epochs.
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
	var eras []specVersion
	present := &config.Spec{}
	for _, change := range changes {
		if change.order.Verb == "apply" && change.order.Spec != nil {
			present = change.order.Spec
		} else if change.order.Change != nil {
			present, _ = change.order.Change.Apply(present)
		} else {
			turned := *present
			turned.Zones = append([]config.Zone{}, present.Zones...)
			for place := range turned.Zones {
				if turned.Zones[place].Name == change.order.Zone {
					turned.Zones[place].Closed = change.order.Verb == "close"
				}
			}
			present = &turned
		}
		one := specVersion{epoch: change.epoch, catalog: config.NewCatalog(present), sent: change.order.Sent}
		if change.order.Outcome == "accepted" {
			one.acknowledged = change.order.Got
		}
		eras = append(eras, one)
	}
	return eras
}

// specsInForce gives the specs by which a daemon's work at a moment may go, a bound after each acknowledgement. One that
// has no path to the core may go by what it had when it lost that.
func (judge *Checker) specsInForce(daemon string, at time.Time, bound time.Duration) []specVersion {
	return judge.specsBetween(at, at, bound+judge.isolatedFor(daemon, at))
}

// isolatedFor gives for how long, at a moment, a daemon has had no path to the core.
func (judge *Checker) isolatedFor(daemon string, at time.Time) time.Duration {
	for place := len(judge.history.Isolations) - 1; place >= 0; place-- {
		one := judge.history.Isolations[place]
		if one.Daemon == daemon && one.From.Before(at) && !at.After(one.Until) {
			return at.Sub(one.From)
		}
	}
	return 0
}

// specsBetween gives the specs by which work may have gone at some moment of a span of time.
func (judge *Checker) specsBetween(from, until time.Time, bound time.Duration) []specVersion {
	floor := 0
	for place, era := range judge.timeline {
		if !era.acknowledged.IsZero() && from.Sub(era.acknowledged) > bound {
			floor = place
		}
	}
	var fit []specVersion
	for _, era := range judge.timeline[min(floor, len(judge.timeline)):] {
		if !era.sent.After(until) {
			fit = append(fit, era)
		}
	}
	return fit
}

func (judge *Checker) permittedBySomeSpec(daemon string, at time.Time, bound time.Duration, permits func(catalog *config.Catalog) bool) bool {
	for _, era := range judge.specsInForce(daemon, at, bound) {
		if permits(era.catalog) {
			return true
		}
	}
	return false
}

// outdatedFor gives for how long a piece of work at a moment was against the acknowledged specs.
func (judge *Checker) outdatedFor(at time.Time, permits func(catalog *config.Catalog) bool) time.Duration {
	longest := time.Duration(0)
	for place := len(judge.timeline) - 1; place >= 0; place-- {
		era := judge.timeline[place]
		if permits(era.catalog) && !era.sent.After(at) {
			break
		}
		if !era.acknowledged.IsZero() && era.acknowledged.Before(at) {
			longest = max(longest, at.Sub(era.acknowledged))
		}
	}
	return longest
}

// excusedByFault tells whether a fault excuses something at a daemon in a span of time.
func (judge *Checker) excusedByFault(daemon string, from, until time.Time) bool {
	for _, fault := range judge.history.Faults {
		if fault.Daemon == daemon && !until.Before(fault.At) && from.Before(fault.Until.Add(faultShadow)) {
			return true
		}
	}
	return false
}

// runnerFault gives a fault of a runner that overlaps a span of time.
func (judge *Checker) runnerFault(runner string, from, until time.Time) (Fault, bool) {
	for _, fault := range judge.history.Faults {
		if fault.Runner == runner && !until.Before(fault.At) && from.Before(fault.Until.Add(faultShadow)) {
			return fault, true
		}
	}
	return Fault{}, false
}

// canUseRunners tells whether a spec lets the backend use its runners at all.
func (judge *Checker) canUseRunners(catalog *config.Catalog) bool {
	for _, backend := range catalog.Backends {
		if backend.Allows(judge.history.Service) && backend.Weights == judge.history.Weights {
			return true
		}
	}
	return false
}

// leastFreeShare gives the least part of the backend's slots that was free over a span of time, in zones that were
// open all the while; 0 where nobody looked.
func (judge *Checker) leastFreeShare(from, until time.Time) float64 {
	least, seen := 1.0, false
	eras := judge.specsBetween(from, until, SpecBound)
	first := sort.Search(len(judge.history.CapacitySamples), func(place int) bool { return judge.history.CapacitySamples[place].At.After(from) })
	for _, room := range judge.history.CapacitySamples[max(0, first-1):] {
		free, slots := 0, 0
		for zone, count := range room.Free {
			open := true
			for _, era := range eras {
				open = open && era.catalog.Open(zone) && judge.canUseRunners(era.catalog)
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
