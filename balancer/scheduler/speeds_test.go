package scheduler

import (
	"math"
	"math/rand"
	"testing"
)

// The speeds of different engines are learned within 600 first events, even if a third of them were delayed by other
// requests and for a tenth the prefix was evicted.
func TestSpeedsAreLearned(t *testing.T) {
	for _, actual := range []engineSpeeds{{0.005, 0.000015, 6e-10}, {0.03, 0.0001, 3e-9}, {0.002, 0.000004, 1e-10}} {
		random := rand.New(rand.NewSource(1))
		speeds := defaultSpeeds
		for seen := range 600 {
			cached := random.Intn(6000)
			prompt := cached + 1 + int(2500*math.Exp(1.2*random.NormFloat64()))
			took := actual.prefill(prompt, cached) + actual.overhead
			if random.Intn(10) == 0 {
				took = actual.prefill(prompt, 0) + actual.overhead
			}
			if random.Intn(3) == 0 {
				took += random.ExpFloat64() * 0.1
			}
			speeds.learn(prompt, cached, took, seen)
		}
		for _, prompt := range []int{2000, 8000, 30000} {
			predicted := speeds.overhead + speeds.prefill(prompt, 500)
			want := actual.overhead + actual.prefill(prompt, 500)
			if predicted < want/1.5 || predicted > want*1.5 {
				t.Errorf("%+v: %d tokens take %.3f s, predicted %.3f s", actual, prompt, want, predicted)
			}
		}
	}
}
