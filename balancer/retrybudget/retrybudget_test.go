package retrybudget

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// countInWindow counts the times that lie in the window that ends at now.
func countInWindow(now time.Time, times []time.Time) (count int) {
	for _, at := range times {
		if now.Sub(at) <= DefaultSettings.Window {
			count++
		}
	}
	return count
}

// In any random sequence of requests and retries, the window that ends at each allowed retry stays within the limit.
// A budget without requests allows no retry.
func TestEveryWindowKeepsTheBound(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("bound", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		budget, now := New(DefaultSettings, nil), time.Unix(1_700_000_000, 0)
		var requests, retries []time.Time
		for range 3000 {
			now = now.Add(time.Duration(random.Int63n(int64(20 * time.Millisecond))))
			if random.Intn(1000) == 0 {
				now = now.Add(time.Duration(random.Int63n(int64(15 * time.Second))))
			}
			if random.Intn(3) > 0 {
				budget.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !budget.AllowRetry(now) {
				continue
			}
			retries = append(retries, now)
			if float64(countInWindow(now, retries)) > DefaultSettings.Ratio*float64(countInWindow(now, requests)) {
				return false
			}
		}
		return len(retries) > 0
	}, gen.Int64()))
	properties.TestingRun(t)
	if New(DefaultSettings, nil).AllowRetry(time.Unix(1_700_000_000, 0)) {
		t.Fatal("a budget without requests allows a retry")
	}
}
