package simulation

import (
	"fmt"
	"time"

	"wardtray/verify/linearizability"
)

// Checker looks at the world after each step, and at each answer to an operator, and reports the rules that are broken.
type Checker struct {
	world *World
	// Violations are the broken rules; a run stops at the first.
	Violations []string
	// Orders are all requests that operators sent, in their order.
	Orders []*Order
	// WorstCases keep the worst case seen of each rule with a figure.
	WorstCases map[string]time.Duration
	// Decisions is how often a data daemon would have scheduled a request at the end of a step, Refusals how often not.
	Decisions, Refusals int
	// Verdict is that on the whole history of callers, once a run is over.
	Verdict linearizability.Verdict
	// OnAccepted, if set, runs when a change has been acknowledged.
	OnAccepted func()
	// onlyHistories has nothing judged but the histories of callers, so that these are what notices a fault.
	onlyHistories bool
	outcomes      *outcomes
	replicas      *replicaCheck
	daemons       *daemonCheck
}

func newChecker(world *World) *Checker {
	checker := &Checker{world: world, WorstCases: map[string]time.Duration{}}
	checker.outcomes = newOutcomes(checker)
	checker.replicas = newReplicaCheck(checker)
	checker.daemons = newDaemonCheck(checker)
	return checker
}

// violation reports a broken rule.
func (checker *Checker) violation(format string, values ...any) {
	if checker.onlyHistories {
		return
	}
	checker.report(format, values...)
}

// report adds to the broken rules.
func (checker *Checker) report(format string, values ...any) {
	world := checker.world
	checker.Violations = append(checker.Violations,
		fmt.Sprintf("seed %d at %v: ", world.Seed, world.Now.Sub(world.started))+fmt.Sprintf(format, values...))
}

// recordWorst keeps the longest length of time seen of a rule.
func (checker *Checker) recordWorst(rule string, length time.Duration) {
	checker.WorstCases[rule] = max(checker.WorstCases[rule], length)
}

// step checks whatever a step of this host can have broken.
func (checker *Checker) step(host *Host) {
	if !host.up || host.frozen {
		return
	}
	if host.core != nil {
		checker.replicas.step(host)
		return
	}
	checker.daemons.step(host)
}
