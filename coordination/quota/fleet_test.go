package quota

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"
)

// The fleet of these tests: daemons with requests of a tenant, an issuer that is replaced, and a network that delays,
// loses and cuts. Time goes in steps.
const (
	step       = 5 * time.Millisecond
	reportStep = 300 * time.Millisecond
	testTerm   = 5 * time.Second
	waitBound  = 150 * time.Millisecond
	tenantName = "tenant"
)

var testTolerance = Tolerance{Window: 8 * time.Second, Excess: 0.1, Slack: 140_000}

type message struct {
	at          time.Time
	daemon      int
	incarnation int
	number      uint64
	claims      []TenantReport
	shares      []Share
	answer      bool
}

type waiting struct {
	cost  float64
	since time.Time
	done  func()
}

type testDaemon struct {
	holder      *Limiter
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

type use struct {
	at   time.Time
	cost float64
}

type testFleet struct {
	random   *rand.Rand
	now      time.Time
	issuer   *Allocator
	headless time.Time
	daemons  []*testDaemon
	messages []message
	uses     []use
	rate     float64
	burst    float64
	meanCost float64
}

func newFleet(seed int64, daemons int, rate, demand, meanCost float64) *testFleet {
	fleet := &testFleet{random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), rate: rate, burst: rate, meanCost: meanCost}
	for range daemons {
		fleet.daemons = append(fleet.daemons, &testDaemon{holder: NewLimiter()})
	}
	// Clients are few and each stays with one daemon, so that shares of the demand are uneven.
	clients := max(4, daemons/2)
	for range clients {
		fleet.daemons[fleet.random.Intn(daemons)].rate += demand / meanCost / float64(clients)
	}
	fleet.lead()
	return fleet
}

// lead makes a new issuer, whose predecessor issues nothing any more.
func (fleet *testFleet) lead() {
	var expected []string
	for number := range fleet.daemons {
		expected = append(expected, fmt.Sprint(number))
	}
	fleet.issuer = NewAllocator(fleet.now, testTerm, expected)
	fleet.limit()
}

func (fleet *testFleet) limit() {
	if fleet.issuer != nil {
		fleet.issuer.SetLimits(fleet.now, map[string]Limit{tenantName: testTolerance.Limit(fleet.rate, fleet.burst)})
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
	sent.at = fleet.now.Add(delay)
	fleet.messages = append(fleet.messages, sent)
}

func (fleet *testFleet) report(number int) {
	daemon := fleet.daemons[number]
	if daemon.holder.Awaits(fleet.now) {
		return
	}
	daemon.number++
	daemon.reported = fleet.now
	claims := daemon.holder.TenantReports(fleet.now, daemon.number)
	if fleet.now.Before(daemon.cut) && daemon.cutOut {
		return
	}
	fleet.send(message{daemon: number, incarnation: daemon.incarnation, number: daemon.number, claims: claims})
}

func (fleet *testFleet) deliver(delivered message) {
	daemon := fleet.daemons[delivered.daemon]
	if !delivered.answer {
		if fleet.issuer == nil || fleet.now.Before(fleet.headless) {
			return
		}
		shares := fleet.issuer.Report(fleet.now, fmt.Sprint(delivered.daemon), delivered.claims)
		fleet.send(message{daemon: delivered.daemon, incarnation: delivered.incarnation, number: delivered.number, shares: shares, answer: true})
		return
	}
	if daemon.incarnation != delivered.incarnation || fleet.now.Before(daemon.down) || fleet.now.Before(daemon.cut) && daemon.cutIn {
		return
	}
	daemon.holder.Granted(fleet.now, delivered.number, testTerm, delivered.shares)
}

func (fleet *testFleet) take(daemon *testDaemon, cost float64) bool {
	if !daemon.holder.Take(fleet.now, tenantName, cost) {
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
		daemon.holder.Offer(fleet.now, tenantName, cost)
		if !fleet.take(daemon, cost) {
			daemon.waiting = append(daemon.waiting, &waiting{cost: cost, since: fleet.now, done: daemon.holder.Need(fleet.now, tenantName, cost)})
		}
	}
	kept := daemon.waiting[:0]
	for _, request := range daemon.waiting {
		switch {
		case fleet.take(daemon, request.cost):
			request.done()
		case daemon.holder.Short(fleet.now, tenantName) || fleet.now.Sub(request.since) > waitBound:
			request.done()
			daemon.refused += request.cost
			daemon.refusedOf++
		default:
			kept = append(kept, request)
		}
	}
	daemon.waiting = kept
	if len(daemon.waiting) > 0 || fleet.now.Sub(daemon.reported) >= reportStep {
		fleet.report(number)
	}
}

func (fleet *testFleet) run(length time.Duration, each func()) {
	for end := fleet.now.Add(length); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(step)
		pending := fleet.messages
		fleet.messages = nil
		sort.SliceStable(pending, func(left, right int) bool { return pending[left].at.Before(pending[right].at) })
		for _, sent := range pending {
			held := sent.answer && fleet.now.Before(fleet.daemons[sent.daemon].frozen)
			if sent.at.After(fleet.now) || held {
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

// worst gives the greatest use in any window, and how much of a bound by the greatest limit in force it is.
func (fleet *testFleet) worst(rate, burst float64) (most, part float64) {
	bound := (rate*testTolerance.Window.Seconds()+burst)*(1+testTolerance.Excess) + testTolerance.Slack
	first, sum := 0, 0.0
	for _, used := range fleet.uses {
		sum += used.cost
		for fleet.uses[first].at.Before(used.at.Add(-testTolerance.Window)) {
			sum -= fleet.uses[first].cost
			first++
		}
		most = max(most, sum)
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

// Below its limit a tenant is served, large or small, on few daemons or on many.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, tried := range []struct {
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
		t.Run(tried.name, func(t *testing.T) {
			var served, refused float64
			for seed := range int64(4) {
				fleet := newFleet(seed, tried.daemons, tried.rate, tried.rate*tried.use, tried.meanCost)
				fleet.run(8*time.Second, nil)
				fleet.forget()
				fleet.run(20*time.Second, nil)
				some, none := fleet.totals()
				served, refused = served+some, refused+none
			}
			part := refused / (served + refused)
			t.Logf("refused %.4f", part)
			if part > tried.most {
				t.Errorf("refused %.4f of what was asked below the limit, more than %.4f", part, tried.most)
			}
		})
	}
}

// A tenant that asks many times its limit gets the whole of it and no more than the bound.
func TestAHotTenantGetsItsLimit(t *testing.T) {
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

// faults brings about kills, cuts of either way or both, freezes, takeovers and lowered limits.
func (fleet *testFleet) faults() {
	if fleet.random.Float64() < 0.01 {
		daemon := fleet.daemons[fleet.random.Intn(len(fleet.daemons))]
		until := fleet.now.Add(time.Duration(fleet.random.Intn(7000)) * time.Millisecond)
		switch fleet.random.Intn(3) {
		case 0:
			daemon.holder, daemon.waiting, daemon.down = NewLimiter(), nil, until
			daemon.incarnation++
		case 1:
			daemon.cut = until
			daemon.cutIn, daemon.cutOut = fleet.random.Intn(3) > 0, fleet.random.Intn(3) > 0
		default:
			daemon.frozen = until
		}
	}
	if fleet.random.Float64() < 0.001 {
		fleet.headless = fleet.now.Add(time.Duration(fleet.random.Intn(6000)) * time.Millisecond)
		fleet.issuer = nil
	}
	if fleet.issuer == nil && fleet.now.After(fleet.headless) {
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

// While the issuer is replaced, daemons go on with what they were lent.
func TestATakeoverLeavesServiceAsItWas(t *testing.T) {
	var served, refused float64
	for seed := range int64(6) {
		fleet := newFleet(seed, 90, 730_000, 730_000*0.7, 5_300)
		fleet.run(8*time.Second, nil)
		fleet.forget()
		fleet.issuer, fleet.headless = nil, fleet.now.Add(2500*time.Millisecond)
		fleet.run(2500*time.Millisecond, nil)
		fleet.lead()
		fleet.run(2*time.Second, nil)
		some, none := fleet.totals()
		served, refused = served+some, refused+none
	}
	part := refused / (served + refused)
	t.Logf("refused %.4f", part)
	if part > 0.2 {
		t.Errorf("refused %.4f around a takeover", part)
	}
}

// A lowered limit binds within a window.
func TestALoweredLimitBinds(t *testing.T) {
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

// What daemons held that were killed, cut off or frozen comes back to the others after a term, and is theirs again when
// they are back.
func TestWhatSilentDaemonsHeldComesBack(t *testing.T) {
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
			if fleet.issuer.accounts[tenantName].lent[fmt.Sprint(number)] != nil {
				t.Errorf("seed %d: dead daemon %d is still lent something", seed, number)
			}
		}
	}
}

// A process that is known to have ended gives back at once what it held.
func TestReleaseGivesBackAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	issuer := NewAllocator(now, testTerm, nil)
	issuer.SetLimits(now, map[string]Limit{tenantName: {Rate: 100, Capacity: 1000}})
	given := issuer.Report(now, "a", []TenantReport{{Tenant: tenantName, Demand: 100, Need: 900}})
	if given[0].Tokens != 900 {
		t.Fatalf("given %+v", given)
	}
	held := issuer.accounts[tenantName].exposure
	issuer.Release(now, "a")
	if account := issuer.accounts[tenantName]; held < 900 || account.exposure != 0 || account.rate != 0 {
		t.Errorf("held %v, then %+v", held, account)
	}
}

// An answer counts once, and only if it is the newest report's.
func TestOldAnswersAreVoid(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := NewLimiter()
	holder.Offer(now, tenantName, 10)
	holder.TenantReports(now, 1)
	holder.TenantReports(now, 2)
	share := []Share{{Tenant: tenantName, Tokens: 100, Capacity: 100}}
	if holder.Granted(now, 1, testTerm, share) || holder.Take(now, tenantName, 1) {
		t.Error("the answer to a report that another one followed counts")
	}
	if !holder.Granted(now, 2, testTerm, share) || holder.Granted(now, 2, testTerm, share) {
		t.Error("an answer does not count once")
	}
	if !holder.Take(now, tenantName, 100) || holder.Take(now, tenantName, 1) {
		t.Error("what was given is not what can be used")
	}
	holder.Return(now, tenantName, 100)
	if holder.Take(now.Add(testTerm+time.Millisecond), tenantName, 1) {
		t.Error("a share is used beyond its term")
	}
}
