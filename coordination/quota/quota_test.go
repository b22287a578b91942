package quota

import (
	"strconv"
	"testing"
	"time"
)

// refusedFraction returns the fraction of the demand that was refused, over the fleets that run returns for the seeds.
func refusedFraction(t *testing.T, seeds int64, run func(seed int64) *testFleet) float64 {
	t.Helper()
	var served, refused float64
	for seed := range seeds {
		fleetServed, fleetRefused := run(seed).totals()
		served, refused = served+fleetServed, refused+fleetRefused
	}
	fraction := refused / (served + refused)
	t.Logf("refused %.4f of the demand", fraction)
	return fraction
}

// A tenant below its limit must hardly ever be refused, whether it is large or small, on few daemons or on many. This
// fails if tokens don't reach the daemons that have the demand.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, test := range []struct {
		name           string
		daemons        int
		rate, meanCost float64
		load, maximum  float64
	}{
		{"a large tenant over 90 daemons", 90, 730_000, 5_300, 0.77, 0.002},
		{"a middle one", 90, 150_000, 5_300, 0.77, 0.01},
		{"a small one of few requests", 90, 36_000, 5_300, 0.5, 0.05},
		{"three daemons", 3, 100_000, 5_300, 0.77, 0.01},
		{"requests counted", 40, 50, 1, 0.7, 0.01},
	} {
		t.Run(test.name, func(t *testing.T) {
			fraction := refusedFraction(t, 4, func(seed int64) *testFleet {
				fleet := newFleet(seed, test.daemons, test.rate, test.rate*test.load, test.meanCost)
				fleet.run(8*time.Second, nil)
				fleet.resetUsage()
				fleet.run(20*time.Second, nil)
				return fleet
			})
			if fraction > test.maximum {
				t.Errorf("refused %.4f of the demand below the limit, want at most %.4f", fraction, test.maximum)
			}
		})
	}
}

// A tenant whose demand is many times its limit must get nearly the full limit, and no more than the bound.
func TestOverloadedTenantGetsItsLimit(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(seed, 60, 300_000, 1_800_000, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.resetUsage()
		fleet.run(20*time.Second, nil)
		served, _ := fleet.totals()
		if used := served / (fleet.rate * 20); used < 0.95 {
			t.Errorf("seed %d: only %.3f of the limit was used", seed, used)
		}
		if _, fraction := fleet.maxWindowUse(fleet.rate, fleet.burst); fraction > 1 {
			t.Errorf("seed %d: a window used %.3f of the bound", seed, fraction)
		}
	}
}

// Use in any window must stay within the bound while daemons are killed, cut off or frozen and the allocator is
// replaced. This fails if tokens that a silent daemon still holds are granted to others.
func TestNoWindowExceedsTheBound(t *testing.T) {
	for seed := range int64(24) {
		load := []float64{0.8, 1.5, 6}[seed%3]
		fleet := newFleet(seed, 30, 200_000, 200_000*load, 5_300)
		fleet.run(40*time.Second, fleet.injectFaults)
		if maximum, fraction := fleet.maxWindowUse(fleet.rate, fleet.burst); fraction > 1 {
			t.Errorf("seed %d: a window used %.0f, %.3f of the bound", seed, maximum, fraction)
		}
	}
}

// While the allocator is replaced, daemons must continue to serve from their allocated shares.
func TestTakeoverKeepsServing(t *testing.T) {
	fraction := refusedFraction(t, 6, func(seed int64) *testFleet {
		fleet := newFleet(seed, 90, 730_000, 730_000*0.7, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.resetUsage()
		fleet.allocator, fleet.noAllocatorUntil = nil, fleet.now.Add(2500*time.Millisecond)
		fleet.run(2500*time.Millisecond, nil)
		fleet.startAllocator()
		fleet.run(2*time.Second, nil)
		return fleet
	})
	if fraction > 0.2 {
		t.Errorf("refused %.4f of the demand during a takeover", fraction)
	}
}

// After a limit is lowered, use must be within the new bound after one window.
func TestLoweredLimitBindsWithinAWindow(t *testing.T) {
	for seed := range int64(4) {
		fleet := newFleet(seed, 40, 400_000, 400_000, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.rate, fleet.burst = 60_000, 60_000
		fleet.setLimit()
		fleet.run(testTolerance.Window, nil)
		fleet.resetUsage()
		fleet.run(20*time.Second, nil)
		if _, fraction := fleet.maxWindowUse(fleet.rate, fleet.burst); fraction > 1 {
			t.Errorf("seed %d: a window used %.3f of the lowered bound", seed, fraction)
		}
	}
}

// The shares of killed daemons must be reclaimed after a term. Otherwise they are lost for good and the limit shrinks
// with each killed daemon.
func TestSharesOfSilentDaemonsAreReclaimed(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(seed, 20, 200_000, 1_200_000, 5_300)
		fleet.run(8*time.Second, nil)
		for _, daemon := range fleet.daemons[:10] {
			daemon.downUntil = fleet.now.Add(time.Hour)
		}
		fleet.run(testTerm+2*time.Second, nil)
		fleet.resetUsage()
		fleet.run(20*time.Second, nil)
		served, _ := fleet.totals()
		if used := served / (fleet.rate * 20); used < 0.95 {
			t.Errorf("seed %d: with half of the daemons killed only %.3f of the limit was used", seed, used)
		}
		for number := range 10 {
			if fleet.allocator.accounts[tenantName].allocations[strconv.Itoa(number)] != nil {
				t.Errorf("seed %d: killed daemon %d still has an allocation", seed, number)
			}
		}
	}
}

// The share of a process that is known to have ended must be reclaimed at once, without waiting for the term.
func TestReleaseReclaimsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewAllocator(now, testTerm, nil)
	allocator.SetLimits(now, map[string]Limit{tenantName: {Rate: 100, Capacity: 1000}})
	shares := allocator.Report(now, "a", []TenantReport{{Tenant: tenantName, Demand: 100, Need: 900}})
	if shares[0].Tokens != 900 {
		t.Fatalf("granted %+v, want 900 tokens", shares)
	}
	before := allocator.accounts[tenantName].exposure
	allocator.Release(now, "a")
	if account := allocator.accounts[tenantName]; before < 900 || account.exposure != 0 || account.rate != 0 {
		t.Errorf("exposure %v before the release, account %+v after it", before, account)
	}
}

// A grant must be applied only once, and only if it answers the newest report. Otherwise a grant that is delayed or
// repeated by the network adds tokens that the allocator doesn't account for.
func TestGrantsForOldReportsAreVoid(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := NewLimiter()
	limiter.RecordDemand(now, tenantName, 10)
	limiter.Report(now, 1)
	limiter.Report(now, 2)
	share := []Share{{Tenant: tenantName, Tokens: 100, Capacity: 100}}
	if limiter.ApplyGrant(now, 1, testTerm, share) || limiter.Take(now, tenantName, 1) {
		t.Error("the grant for an outdated report was applied")
	}
	if !limiter.ApplyGrant(now, 2, testTerm, share) || limiter.ApplyGrant(now, 2, testTerm, share) {
		t.Error("the newest grant was not applied exactly once")
	}
	if !limiter.Take(now, tenantName, 100) || limiter.Take(now, tenantName, 1) {
		t.Error("the usable balance differs from the granted tokens")
	}
	limiter.Refund(now, tenantName, 100)
	if limiter.Take(now.Add(testTerm+time.Millisecond), tenantName, 1) {
		t.Error("a share was used beyond its term")
	}
}
