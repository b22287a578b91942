package quota

import (
	"strconv"
	"testing"
	"time"
)

// refusedPart returns what part of the demand was refused, over the fleets that play returns for some seeds.
func refusedPart(t *testing.T, seeds int64, play func(seed int64) *testFleet) float64 {
	t.Helper()
	var served, refused float64
	for seed := range seeds {
		servedThere, refusedThere := play(seed).totals()
		served, refused = served+servedThere, refused+refusedThere
	}
	part := refused / (served + refused)
	t.Logf("refused %.4f", part)
	return part
}

// Below its limit a tenant is served, large or small, on few daemons or on many.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, test := range []struct {
		name           string
		daemons        int
		rate, meanCost float64
		use, most      float64
	}{
		{"a large tenant over 90 daemons", 90, 730_000, 5_300, 0.77, 0.002},
		{"a middle one", 90, 150_000, 5_300, 0.77, 0.01},
		{"a small one of few requests", 90, 36_000, 5_300, 0.5, 0.05},
		{"three daemons", 3, 100_000, 5_300, 0.77, 0.01},
		{"requests counted", 40, 50, 1, 0.7, 0.01},
	} {
		t.Run(test.name, func(t *testing.T) {
			part := refusedPart(t, 4, func(seed int64) *testFleet {
				fleet := newFleet(seed, test.daemons, test.rate, test.rate*test.use, test.meanCost)
				fleet.run(8*time.Second, nil)
				fleet.forget()
				fleet.run(20*time.Second, nil)
				return fleet
			})
			if part > test.most {
				t.Errorf("refused %.4f of what was asked below the limit, more than %.4f", part, test.most)
			}
		})
	}
}

// A tenant that asks many times its limit gets the whole of it and no more than the bound.
func TestOverloadedTenantGetsItsLimit(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(seed, 60, 300_000, 1_800_000, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.forget()
		fleet.run(20*time.Second, nil)
		served, _ := fleet.totals()
		if used := served / (fleet.rate * 20); used < 0.95 {
			t.Errorf("seed %d: %.3f of the limit was used", seed, used)
		}
		if _, part := fleet.worst(fleet.rate, fleet.burst); part > 1 {
			t.Errorf("seed %d: %.3f of the bound", seed, part)
		}
	}
}

// Whatever is killed, cut off, frozen or replaced, no window holds more than the bound.
func TestNoWindowExceedsTheBound(t *testing.T) {
	for seed := range int64(24) {
		load := []float64{0.8, 1.5, 6}[seed%3]
		fleet := newFleet(seed, 30, 200_000, 200_000*load, 5_300)
		fleet.run(40*time.Second, fleet.faults)
		if most, part := fleet.worst(fleet.rate, fleet.burst); part > 1 {
			t.Errorf("seed %d: %.0f in a window, %.3f of the bound", seed, most, part)
		}
	}
}

// While the allocator is replaced, daemons go on with what they were allocated.
func TestTakeoverKeepsServing(t *testing.T) {
	part := refusedPart(t, 6, func(seed int64) *testFleet {
		fleet := newFleet(seed, 90, 730_000, 730_000*0.7, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.forget()
		fleet.allocator, fleet.headlessUntil = nil, fleet.now.Add(2500*time.Millisecond)
		fleet.run(2500*time.Millisecond, nil)
		fleet.lead()
		fleet.run(2*time.Second, nil)
		return fleet
	})
	if part > 0.2 {
		t.Errorf("refused %.4f around a takeover", part)
	}
}

// A lowered limit binds within a window.
func TestLoweredLimitBindsWithinAWindow(t *testing.T) {
	for seed := range int64(4) {
		fleet := newFleet(seed, 40, 400_000, 400_000, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.rate, fleet.burst = 60_000, 60_000
		fleet.limit()
		fleet.run(testTolerance.Window, nil)
		fleet.forget()
		fleet.run(20*time.Second, nil)
		if _, part := fleet.worst(fleet.rate, fleet.burst); part > 1 {
			t.Errorf("seed %d: %.3f of the lowered bound", seed, part)
		}
	}
}

// What killed daemons held is reclaimed for the others after a term.
func TestSharesOfSilentDaemonsAreReclaimed(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(seed, 20, 200_000, 1_200_000, 5_300)
		fleet.run(8*time.Second, nil)
		for _, daemon := range fleet.daemons[:10] {
			daemon.down = fleet.now.Add(time.Hour)
		}
		fleet.run(testTerm+2*time.Second, nil)
		fleet.forget()
		fleet.run(20*time.Second, nil)
		served, _ := fleet.totals()
		if used := served / (fleet.rate * 20); used < 0.95 {
			t.Errorf("seed %d: with half of the daemons dead %.3f of the limit was used", seed, used)
		}
		for number := range 10 {
			if fleet.allocator.accounts[tenantName].allocations[strconv.Itoa(number)] != nil {
				t.Errorf("seed %d: dead daemon %d is still allocated something", seed, number)
			}
		}
	}
}

// What a process held that is known to have ended is reclaimed at once.
func TestReleaseReclaimsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewAllocator(now, testTerm, nil)
	allocator.SetLimits(now, map[string]Limit{tenantName: {Rate: 100, Capacity: 1000}})
	given := allocator.Report(now, "a", []TenantReport{{Tenant: tenantName, Demand: 100, Need: 900}})
	if given[0].Tokens != 900 {
		t.Fatalf("given %+v", given)
	}
	before := allocator.accounts[tenantName].exposure
	allocator.Release(now, "a")
	if account := allocator.accounts[tenantName]; before < 900 || account.exposure != 0 || account.rate != 0 {
		t.Errorf("exposure %v, then %+v", before, account)
	}
}

// A grant counts once, and only if it is the newest report's.
func TestGrantsForOldReportsAreVoid(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := NewLimiter()
	limiter.RecordDemand(now, tenantName, 10)
	limiter.Report(now, 1)
	limiter.Report(now, 2)
	share := []Share{{Tenant: tenantName, Tokens: 100, Capacity: 100}}
	if limiter.ApplyGrant(now, 1, testTerm, share) || limiter.Take(now, tenantName, 1) {
		t.Error("the grant for a report that another one followed counts")
	}
	if !limiter.ApplyGrant(now, 2, testTerm, share) || limiter.ApplyGrant(now, 2, testTerm, share) {
		t.Error("a grant does not count once")
	}
	if !limiter.Take(now, tenantName, 100) || limiter.Take(now, tenantName, 1) {
		t.Error("what was given is not what can be used")
	}
	limiter.Refund(now, tenantName, 100)
	if limiter.Take(now.Add(testTerm+time.Millisecond), tenantName, 1) {
		t.Error("a share is used beyond its term")
	}
}
