package simulation

import (
	"fmt"
	"time"

	"wardtray/verify/linearizability"
)

// Checker checks the world's state after each step and each answer to an operator, and collects the violated rules.
type Checker struct {
	world *World
	// Violations are the violated rules; a run stops at the first.
	Violations []string
	// Orders are all requests that operators sent, in order of sending.
	Orders []*Order
	// WorstCases holds the longest duration measured for each rule.
	WorstCases map[string]time.Duration
	// Decisions counts the steps after which a data daemon would have scheduled a request, Refusals those after which it
	// would have refused one.
	Decisions, Refusals int
	// Verdict is the result of the linearizability check of the complete history, available once a run is over.
	Verdict linearizability.Verdict
	// OnAccepted, if set, is called when a change has been acknowledged.
	OnAccepted func()
	// onlyHistories disables all checks except the linearizability check of the callers' histories, so that a test shows
	// which faults this check detects by itself.
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

// violation records a violated rule, unless onlyHistories is set.
func (checker *Checker) violation(format string, values ...any) {
	if checker.onlyHistories {
		return
	}
	checker.report(format, values...)
}

// report appends to Violations, with the seed and the simulated time.
func (checker *Checker) report(format string, values ...any) {
	world := checker.world
	checker.Violations = append(checker.Violations,
		fmt.Sprintf("seed %d at %v: ", world.Seed, world.Now.Sub(world.started))+fmt.Sprintf(format, values...))
}

// recordWorstCase keeps the longest duration measured for a rule.
func (checker *Checker) recordWorstCase(rule string, length time.Duration) {
	checker.WorstCases[rule] = max(checker.WorstCases[rule], length)
}

// step checks the rules that the last step of this host may have violated.
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
