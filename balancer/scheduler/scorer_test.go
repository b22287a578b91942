package scheduler

import (
	"fmt"
	"testing"
	"time"
	"wardtray/balancer/load"
)

// Prompts are not dispatched to a runner whose memory is full, which would probably reject them.
func TestRunnersWithFullMemoryAreAvoided(t *testing.T) {
	fixture := newFixture(t, 2)
	fixture.table.RecordReport(fixture.now, "r00", load.Report{Slots: 64, UsedTokens: 990_000, MemoryTokens: 1_000_000})
	fixture.table.RecordReport(fixture.now, "r01", load.Report{Slots: 64, UsedTokens: 100_000, MemoryTokens: 1_000_000})
	for range 3 {
		request := fixture.request("l", 1, 1, time.Second)
		request.Requirements.PromptTokens = 10_000
		if decision, _ := fixture.schedule(request); decision.Runner.ID != "r01" {
			t.Fatal("a prompt was dispatched to the runner without free memory")
		}
	}
}

// scoringCandidates returns 18 candidates with different loads, half of them in zone b.
func scoringCandidates() []Candidate {
	candidates := make([]Candidate, 18)
	for index := range candidates {
		candidates[index].Runner = load.Runner{
			ID:     fmt.Sprintf("r%02d", index),
			Zone:   string("ab"[index%2]),
			Slots:  8,
			Load:   float64(index % 12),
			Limit:  12,
			Usable: true,
		}
		candidates[index].Prefill = 0.1
	}
	return candidates
}

// BenchmarkScore scores the candidates for one request.
func BenchmarkScore(b *testing.B) {
	requirements := Requirements{LatencyTarget: time.Second, PromptTokens: 2000, Zone: "a"}
	candidates := scoringCandidates()
	b.ReportAllocs()
	for b.Loop() {
		Score(requirements, candidates, DefaultCostWeights)
	}
}

// Ineligible runners get no score. The others score lower the more loaded they are, and lower in another zone.
func TestScoreOrdersCandidates(t *testing.T) {
	candidates := scoringCandidates()[:6]
	candidates[4].Usable = false
	candidates[5].Limit = 0
	requirements := Requirements{LatencyTarget: time.Second, Zone: "a", ExcludedRunners: map[string]bool{"r03": true}}
	scored := Score(requirements, candidates, DefaultCostWeights)
	if len(scored) != 3 {
		t.Fatalf("%d candidates were scored, want 3", len(scored))
	}
	idle, remote, loaded := scored[0], scored[1], scored[2]
	if idle.Score <= loaded.Score || idle.Score-remote.Score < DefaultCostWeights.CrossZone {
		t.Errorf("scores: idle %v, remote %v, loaded %v", idle.Score, remote.Score, loaded.Score)
	}
}
