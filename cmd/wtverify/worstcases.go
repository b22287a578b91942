package main

import (
	"time"

	"wardtray/verify/histories"
)

// worstCases collects the worst cases of many runs.
type worstCases struct {
	// lengths maps a description of each case to the longest duration seen.
	lengths map[string]time.Duration
	cases   histories.WorstCases
	// counts maps an outcome of requests to the number of requests that had it.
	counts map[string]int
}

func newWorstCases() *worstCases {
	return &worstCases{lengths: map[string]time.Duration{}, counts: map[string]int{}}
}

// add adds the worst cases of one run.
func (worst *worstCases) add(cases histories.WorstCases) {
	worst.cases.Add(cases)
	worst.lengths["work against an acknowledged spec"] = worst.cases.OutdatedSpec
	worst.lengths["work to a leaving runner"] = worst.cases.Draining
	worst.lengths["work to a closed zone"] = worst.cases.Closed
	worst.lengths["first answer after the machines' return"] = worst.cases.Return
	worst.lengths["final answer after a loss could be known"] = worst.cases.Overdue
}

// count adds the request counts of one run, by outcome.
func (worst *worstCases) count(counts map[string]int) {
	for name, count := range counts {
		worst.counts[name] += count
	}
}

// print writes the worst cases, and the request counts if there are any.
func (worst *worstCases) print(output printer) {
	for _, rule := range sortedNames(worst.lengths) {
		output.printf("  worst case, %s: %v\n", rule, worst.lengths[rule].Round(time.Millisecond))
	}
	if len(worst.counts) == 0 {
		return
	}
	output.printf(
		"  worst case, repeats in ten seconds: %d to %d requests; most work beside which a cold runner got more: %d\n",
		worst.cases.Retried,
		worst.cases.Requests,
		worst.cases.Concurrent,
	)
	output.printf("  requests:")
	for _, name := range sortedNames(worst.counts) {
		output.printf(" %s %d;", name, worst.counts[name])
	}
	output.println()
}
