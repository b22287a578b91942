package quota

import (
	"math/rand"
	"slices"
	"strconv"
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

// newFleet returns daemons with an uneven demand, and an allocator.
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

// limit sets the tenant's limit at the allocator.
func (fleet *testFleet) limit() {
	if fleet.allocator != nil {
		fleet.allocator.SetLimits(fleet.now, map[string]Limit{tenantName: testTolerance.Limit(fleet.rate, fleet.burst)})
	}
}

// cost draws the cost of a request.
func (fleet *testFleet) cost() float64 {
	// Most requests are small, and a few are many times as large.
	cost := fleet.meanCost * (0.2 + 0.5*fleet.random.ExpFloat64())
	if fleet.random.Float64() < 0.05 {
		cost += fleet.meanCost * 6 * fleet.random.Float64()
	}
	return float64(int(cost) + 1)
}

// send puts a message into the network, which delays some for long.
func (fleet *testFleet) send(sent message) {
	delay := time.Duration(1+fleet.random.Intn(8)) * time.Millisecond
	if fleet.random.Float64() < 0.002 {
		delay += time.Duration(fleet.random.Intn(400)) * time.Millisecond
	}
	sent.arrivesAt = fleet.now.Add(delay)
	fleet.messages = append(fleet.messages, sent)
}

// report sends a daemon's report, unless it still awaits a grant.
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

// deliver hands a message to the allocator or to its daemon, unless that is down or cut off.
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

// take charges a request to a daemon's tokens and reports whether there were enough.
func (fleet *testFleet) take(daemon *testDaemon, cost float64) bool {
	if !daemon.limiter.Take(fleet.now, tenantName, cost) {
		return false
	}
	fleet.uses = append(fleet.uses, use{fleet.now, cost})
	daemon.served += cost
	daemon.servedOf++
	return true
}

// serve lets a daemon get requests, serve those that find tokens, and refuse those that have waited too long.
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

// run lets time pass; each, if not nil, is called after each step.
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

// totals returns what was served and refused at all daemons since forget.
func (fleet *testFleet) totals() (served, refused float64) {
	for _, daemon := range fleet.daemons {
		served += daemon.served
		refused += daemon.refused
	}
	return served, refused
}

// forget begins the counts anew.
func (fleet *testFleet) forget() {
	fleet.uses = nil
	for _, daemon := range fleet.daemons {
		daemon.served, daemon.refused = 0, 0
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
