package quota

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The fleet of these tests: daemons with requests of a tenant, an allocator that is replaced, and a network that
// delays, loses and cuts. Time goes in steps.
const (
	step       = 5 * time.Millisecond
	reportStep = 300 * time.Millisecond
	testTerm   = 5 * time.Second
	waitBound  = 150 * time.Millisecond
	tenantName = "tenant"
)

var testTolerance = Tolerance{Window: 8 * time.Second, Excess: 0.1, Slack: 140_000}

// message is a report on its way to the allocator, or a grant on its way back.
type message struct {
	arrivesAt   time.Time
	daemon      int
	incarnation int
	number      uint64
	reports     []TenantReport
	shares      []Share
	isGrant     bool
}

// waiting is a request that waits for tokens.
type waiting struct {
	cost  float64
	since time.Time
	done  func()
}

// testDaemon is a daemon with its requests.
type testDaemon struct {
	limiter     *Limiter
	incarnation int
	number      uint64
	reported    time.Time
	waiting     []*waiting
	// rate is how many requests come a second; down, cut and frozen last until these moments.
	rate                float64
	down, cut, frozen   time.Time
	cutIn, cutOut       bool
	served, refused     float64
	servedOf, refusedOf int
}

// use is what a request has used.
type use struct {
	at   time.Time
	cost float64
}

// testFleet is all daemons, the allocator and the network between them.
type testFleet struct {
	random        *rand.Rand
	now           time.Time
	allocator     *Allocator
	headlessUntil time.Time
	daemons       []*testDaemon
	messages      []message
	uses          []use
	rate          float64
	burst         float64
	meanCost      float64
}

func newFleet(seed int64, daemons int, rate, demand, meanCost float64) *testFleet {
	fleet := &testFleet{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), rate: rate, burst: rate, meanCost: meanCost,
	}
	for range daemons {
		fleet.daemons = append(fleet.daemons, &testDaemon{limiter: NewLimiter()})
	}
	// Clients are few and each stays with one daemon, so that shares of the demand are uneven.
	clients := max(4, daemons/2)
	for range clients {
		fleet.daemons[fleet.random.Intn(daemons)].rate += demand / meanCost / float64(clients)
	}
	fleet.lead()
	return fleet
}

// lead makes a new allocator, whose predecessor grants nothing any more.
func (fleet *testFleet) lead() {
	expected := make([]string, len(fleet.daemons))
	for number := range fleet.daemons {
		expected[number] = strconv.Itoa(number)
	}
	fleet.allocator = NewAllocator(fleet.now, testTerm, expected)
	fleet.limit()
}

func (fleet *testFleet) limit() {
	if fleet.allocator != nil {
		fleet.allocator.SetLimits(fleet.now, map[string]Limit{tenantName: testTolerance.Limit(fleet.rate, fleet.burst)})
	}
}

func (fleet *testFleet) cost() float64 {
	// Most requests are small, and a few are many times as large.
	cost := fleet.meanCost * (0.2 + 0.5*fleet.random.ExpFloat64())
	if fleet.random.Float64() < 0.05 {
		cost += fleet.meanCost * 6 * fleet.random.Float64()
	}
	return float64(int(cost) + 1)
}

func (fleet *testFleet) send(sent message) {
	delay := time.Duration(1+fleet.random.Intn(8)) * time.Millisecond
	if fleet.random.Float64() < 0.002 {
		delay += time.Duration(fleet.random.Intn(400)) * time.Millisecond
	}
	sent.arrivesAt = fleet.now.Add(delay)
	fleet.messages = append(fleet.messages, sent)
}

func (fleet *testFleet) report(number int) {
	daemon := fleet.daemons[number]
	if daemon.limiter.AwaitsGrant(fleet.now) {
		return
	}
	daemon.number++
	daemon.reported = fleet.now
	reports := daemon.limiter.Report(fleet.now, daemon.number)
	if fleet.now.Before(daemon.cut) && daemon.cutOut {
		return
	}
	fleet.send(message{daemon: number, incarnation: daemon.incarnation, number: daemon.number, reports: reports})
}

func (fleet *testFleet) deliver(delivered message) {
	daemon := fleet.daemons[delivered.daemon]
	if !delivered.isGrant {
		if fleet.allocator == nil || fleet.now.Before(fleet.headlessUntil) {
			return
		}
		shares := fleet.allocator.Report(fleet.now, strconv.Itoa(delivered.daemon), delivered.reports)
		fleet.send(message{
			daemon: delivered.daemon, incarnation: delivered.incarnation, number: delivered.number,
			shares: shares, isGrant: true,
		})
		return
	}
	if daemon.incarnation != delivered.incarnation || fleet.now.Before(daemon.down) {
		return
	}
	if fleet.now.Before(daemon.cut) && daemon.cutIn {
		return
	}
	daemon.limiter.ApplyGrant(fleet.now, delivered.number, testTerm, delivered.shares)
}

func (fleet *testFleet) take(daemon *testDaemon, cost float64) bool {
	if !daemon.limiter.Take(fleet.now, tenantName, cost) {
		return false
	}
	fleet.uses = append(fleet.uses, use{fleet.now, cost})
	daemon.served += cost
	daemon.servedOf++
	return true
}

func (fleet *testFleet) serve(number int) {
	daemon := fleet.daemons[number]
	if fleet.now.Before(daemon.down) || fleet.now.Before(daemon.frozen) {
		return
	}
	if fleet.random.Float64() < daemon.rate*step.Seconds() {
		cost := fleet.cost()
		daemon.limiter.RecordDemand(fleet.now, tenantName, cost)
		if !fleet.take(daemon, cost) {
			done := daemon.limiter.AddWaiting(fleet.now, tenantName, cost)
			daemon.waiting = append(daemon.waiting, &waiting{cost: cost, since: fleet.now, done: done})
		}
	}
	remaining := daemon.waiting[:0]
	for _, request := range daemon.waiting {
		switch {
		case fleet.take(daemon, request.cost):
			request.done()
		case daemon.limiter.InShortage(fleet.now, tenantName) || fleet.now.Sub(request.since) > waitBound:
			request.done()
			daemon.refused += request.cost
			daemon.refusedOf++
		default:
			remaining = append(remaining, request)
		}
	}
	daemon.waiting = remaining
	if len(daemon.waiting) > 0 || fleet.now.Sub(daemon.reported) >= reportStep {
		fleet.report(number)
	}
}

func (fleet *testFleet) run(length time.Duration, each func()) {
	for end := fleet.now.Add(length); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(step)
		pending := fleet.messages
		fleet.messages = nil
		slices.SortStableFunc(pending, func(left, right message) int { return left.arrivesAt.Compare(right.arrivesAt) })
		for _, sent := range pending {
			frozen := sent.isGrant && fleet.now.Before(fleet.daemons[sent.daemon].frozen)
			if sent.arrivesAt.After(fleet.now) || frozen {
				fleet.messages = append(fleet.messages, sent)
				continue
			}
			fleet.deliver(sent)
		}
		for number := range fleet.daemons {
			fleet.serve(number)
		}
		if each != nil {
			each()
		}
	}
}

// worst returns the greatest use in any window, and what fraction of the bound of a limit it is.
func (fleet *testFleet) worst(rate, burst float64) (most, part float64) {
	bound := (rate*testTolerance.Window.Seconds()+burst)*(1+testTolerance.Excess) + testTolerance.Slack
	first, inWindow := 0, 0.0
	for _, used := range fleet.uses {
		inWindow += used.cost
		for fleet.uses[first].at.Before(used.at.Add(-testTolerance.Window)) {
			inWindow -= fleet.uses[first].cost
			first++
		}
		most = max(most, inWindow)
	}
	return most, most / bound
}

func (fleet *testFleet) totals() (served, refused float64) {
	for _, daemon := range fleet.daemons {
		served += daemon.served
		refused += daemon.refused
	}
	return served, refused
}

func (fleet *testFleet) forget() {
	fleet.uses = nil
	for _, daemon := range fleet.daemons {
		daemon.served, daemon.refused = 0, 0
	}
}

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

// faults injects kills, cuts of either direction or both, freezes and takeovers.
func (fleet *testFleet) faults() {
	if fleet.random.Float64() < 0.01 {
		daemon := fleet.daemons[fleet.random.Intn(len(fleet.daemons))]
		until := fleet.now.Add(time.Duration(fleet.random.Intn(7000)) * time.Millisecond)
		switch fleet.random.Intn(3) {
		case 0:
			daemon.limiter, daemon.waiting, daemon.down = NewLimiter(), nil, until
			daemon.incarnation++
		case 1:
			daemon.cut = until
			daemon.cutIn, daemon.cutOut = fleet.random.Intn(3) > 0, fleet.random.Intn(3) > 0
		default:
			daemon.frozen = until
		}
	}
	if fleet.random.Float64() < 0.001 {
		fleet.headlessUntil = fleet.now.Add(time.Duration(fleet.random.Intn(6000)) * time.Millisecond)
		fleet.allocator = nil
	}
	if fleet.allocator == nil && fleet.now.After(fleet.headlessUntil) {
		fleet.lead()
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
