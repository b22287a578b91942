package placement

import (
	"math/rand"
	"slices"
	"testing"

	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
)

// candidate returns a candidate with a load and a number of cached tokens.
func candidate(runnerLoad float64, cached int, saturated bool) scheduler.ScoredCandidate {
	return scheduler.ScoredCandidate{
		Candidate: scheduler.Candidate{Runner: load.Runner{Load: runnerLoad}, CachedTokens: cached},
		Saturated: saturated,
	}
}

func TestPoliciesPickTheBestCandidateThatIsNotSaturated(t *testing.T) {
	candidates := []scheduler.ScoredCandidate{
		candidate(0.1, 900, true),
		candidate(0.2, 10, false),
		candidate(0.3, 500, false),
	}
	for name, want := range map[string]int{"least-loaded": 1, "two-choices": 1, "index-only": 2} {
		for seed := range int64(20) {
			if got := policies[name](scheduler.Requirements{}, candidates, rand.New(rand.NewSource(seed))); got != want {
				t.Errorf("%s, seed %d: candidate %d, want %d", name, seed, got, want)
			}
		}
	}
}

func TestPoliciesPickNoneWhereAllAreSaturated(t *testing.T) {
	candidates := []scheduler.ScoredCandidate{candidate(0, 0, true), candidate(0, 0, true)}
	for name, pick := range policies {
		if got := pick(scheduler.Requirements{}, candidates, rand.New(rand.NewSource(1))); got != -1 {
			t.Errorf("%s: candidate %d, want none", name, got)
		}
	}
}

// two-choices chooses the better of two random candidates, so that it often misses the best of three and never chooses
// the worst.
func TestTwoChoicesCompareTwoCandidates(t *testing.T) {
	candidates := []scheduler.ScoredCandidate{
		candidate(0.1, 0, false),
		candidate(0.2, 0, false),
		candidate(0.3, 0, false),
	}
	picked := make([]int, len(candidates))
	for seed := range int64(300) {
		picked[policies["two-choices"](scheduler.Requirements{}, candidates, rand.New(rand.NewSource(seed)))]++
	}
	// The best candidate is drawn in two thirds of the cases; the worst never wins.
	if picked[0] < 150 || picked[0] > 250 || picked[1] == 0 || picked[2] != 0 {
		t.Errorf("numbers of choices %v, want about 200, some and 0", picked)
	}
}

func TestPolicyNames(t *testing.T) {
	want := []string{"wardtray", "index-only", "least-loaded", "random", "two-choices"}
	if got := PolicyNames(); !slices.Equal(got, want) {
		t.Errorf("policies %v, want %v", got, want)
	}
	for _, name := range slotPolicies {
		if policies[name] == nil {
			t.Errorf("no policy %q", name)
		}
	}
}
