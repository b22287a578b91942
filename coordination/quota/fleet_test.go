package quota

import (
	"math/rand"
	"slices"
	"strconv"
	"time"
)

// These tests simulate daemons with requests of one tenant, an allocator that is replaced, and a network that delays
// and loses messages and cuts off daemons. Simulated time advances in steps of timeStep.
const (
	timeStep       = 5 * time.Millisecond
	reportInterval = 300 * time.Millisecond
	testTerm       = 5 * time.Second
	maximumWait    = 150 * time.Millisecond
	tenantName     = "tenant"
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

// waitingRequest is a request that waits for tokens.
type waitingRequest struct {
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
	waiting     []*waitingRequest
	// rate is the number of requests per second.
	rate float64
	// The process is down, cut off or frozen until these times. While it is cut off, it loses incoming or outgoing
	// messages or both.
	downUntil, cutOffUntil, frozenUntil time.Time
	losesIncoming, losesOutgoing        bool
	served, refused                     float64
	servedRequests, refusedRequests     int
}

// use is the cost of a served request.
type use struct {
	at   time.Time
	cost float64
}

// testFleet simulates the daemons, the allocator and the network between them.
type testFleet struct {
	random           *rand.Rand
	now              time.Time
	allocator        *Allocator
	noAllocatorUntil time.Time
	daemons          []*testDaemon
	messages         []message
	uses             []use
	rate             float64
	burst            float64
	meanCost         float64
}

// newFleet returns daemons with an uneven demand, and an allocator.
func newFleet(seed int64, daemons int, rate, demand, meanCost float64) *testFleet {
	fleet := &testFleet{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), rate: rate, burst: rate, meanCost: meanCost,
	}
	for range daemons {
		fleet.daemons = append(fleet.daemons, &testDaemon{limiter: NewLimiter()})
	}
	// There are few clients and each uses one daemon, so that the demand differs between daemons.
	clients := max(4, daemons/2)
	for range clients {
		fleet.daemons[fleet.random.Intn(daemons)].rate += demand / meanCost / float64(clients)
	}
	fleet.startAllocator()
	return fleet
}

// startAllocator replaces the allocator by a new one.
func (fleet *testFleet) startAllocator() {
	expected := make([]string, len(fleet.daemons))
	for number := range fleet.daemons {
		expected[number] = strconv.Itoa(number)
	}
	fleet.allocator = NewAllocator(fleet.now, testTerm, expected)
	fleet.setLimit()
}

// setLimit sets the tenant's limit at the allocator.
func (fleet *testFleet) setLimit() {
	if fleet.allocator != nil {
		fleet.allocator.SetLimits(fleet.now, map[string]Limit{tenantName: testTolerance.Limit(fleet.rate, fleet.burst)})
	}
}

// cost returns a random cost of a request.
func (fleet *testFleet) cost() float64 {
	// Most requests are small, and a few are many times as large.
	cost := fleet.meanCost * (0.2 + 0.5*fleet.random.ExpFloat64())
	if fleet.random.Float64() < 0.05 {
		cost += fleet.meanCost * 6 * fleet.random.Float64()
	}
	return float64(int(cost) + 1)
}

// send sends a message over the network, which delays a few of them by up to 400 ms more.
func (fleet *testFleet) send(sent message) {
	delay := time.Duration(1+fleet.random.Intn(8)) * time.Millisecond
	if fleet.random.Float64() < 0.002 {
		delay += time.Duration(fleet.random.Intn(400)) * time.Millisecond
	}
	sent.arrivesAt = fleet.now.Add(delay)
	fleet.messages = append(fleet.messages, sent)
}

// report sends a daemon's report, unless the daemon still awaits a grant.
func (fleet *testFleet) report(number int) {
	daemon := fleet.daemons[number]
	if daemon.limiter.AwaitsGrant(fleet.now) {
		return
	}
	daemon.number++
	daemon.reported = fleet.now
	reports := daemon.limiter.Report(fleet.now, daemon.number)
	if fleet.now.Before(daemon.cutOffUntil) && daemon.losesOutgoing {
		return
	}
	fleet.send(message{daemon: number, incarnation: daemon.incarnation, number: daemon.number, reports: reports})
}

// deliver delivers a message to the allocator or to its daemon, unless the receiver is down or cut off.
func (fleet *testFleet) deliver(delivered message) {
	daemon := fleet.daemons[delivered.daemon]
	if !delivered.isGrant {
		if fleet.allocator == nil || fleet.now.Before(fleet.noAllocatorUntil) {
			return
		}
		shares := fleet.allocator.Report(fleet.now, strconv.Itoa(delivered.daemon), delivered.reports)
		fleet.send(message{
			daemon: delivered.daemon, incarnation: delivered.incarnation, number: delivered.number,
			shares: shares, isGrant: true,
		})
		return
	}
	if daemon.incarnation != delivered.incarnation || fleet.now.Before(daemon.downUntil) {
		return
	}
	if fleet.now.Before(daemon.cutOffUntil) && daemon.losesIncoming {
		return
	}
	daemon.limiter.ApplyGrant(fleet.now, delivered.number, testTerm, delivered.shares)
}

// take takes the tokens for a request from a daemon's balance and reports whether there were enough.
func (fleet *testFleet) take(daemon *testDaemon, cost float64) bool {
	if !daemon.limiter.Take(fleet.now, tenantName, cost) {
		return false
	}
	fleet.uses = append(fleet.uses, use{fleet.now, cost})
	daemon.served += cost
	daemon.servedRequests++
	return true
}

// serve runs one step of a daemon: it may receive a request, serves the requests that find tokens, and refuses those
// that have waited too long.
func (fleet *testFleet) serve(number int) {
	daemon := fleet.daemons[number]
	if fleet.now.Before(daemon.downUntil) || fleet.now.Before(daemon.frozenUntil) {
		return
	}
	if fleet.random.Float64() < daemon.rate*timeStep.Seconds() {
		cost := fleet.cost()
		daemon.limiter.RecordDemand(fleet.now, tenantName, cost)
		if !fleet.take(daemon, cost) {
			done := daemon.limiter.AddWaiting(fleet.now, tenantName, cost)
			daemon.waiting = append(daemon.waiting, &waitingRequest{cost: cost, since: fleet.now, done: done})
		}
	}
	remaining := daemon.waiting[:0]
	for _, request := range daemon.waiting {
		switch {
		case fleet.take(daemon, request.cost):
			request.done()
		case daemon.limiter.InShortage(fleet.now, tenantName) || fleet.now.Sub(request.since) > maximumWait:
			request.done()
			daemon.refused += request.cost
			daemon.refusedRequests++
		default:
			remaining = append(remaining, request)
		}
	}
	daemon.waiting = remaining
	if len(daemon.waiting) > 0 || fleet.now.Sub(daemon.reported) >= reportInterval {
		fleet.report(number)
	}
}

// run advances the simulated time by a duration; afterStep, if not nil, is called after each step.
func (fleet *testFleet) run(duration time.Duration, afterStep func()) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(timeStep)
		pending := fleet.messages
		fleet.messages = nil
		slices.SortStableFunc(pending, func(left, right message) int { return left.arrivesAt.Compare(right.arrivesAt) })
		for _, sent := range pending {
			frozen := sent.isGrant && fleet.now.Before(fleet.daemons[sent.daemon].frozenUntil)
			if sent.arrivesAt.After(fleet.now) || frozen {
				fleet.messages = append(fleet.messages, sent)
				continue
			}
			fleet.deliver(sent)
		}
		for number := range fleet.daemons {
			fleet.serve(number)
		}
		if afterStep != nil {
			afterStep()
		}
	}
}

// maxWindowUse returns the greatest use in any window, and its fraction of the bound for a limit.
func (fleet *testFleet) maxWindowUse(rate, burst float64) (maximum, fraction float64) {
	bound := (rate*testTolerance.Window.Seconds()+burst)*(1+testTolerance.Excess) + testTolerance.Slack
	first, inWindow := 0, 0.0
	for _, used := range fleet.uses {
		inWindow += used.cost
		for fleet.uses[first].at.Before(used.at.Add(-testTolerance.Window)) {
			inWindow -= fleet.uses[first].cost
			first++
		}
		maximum = max(maximum, inWindow)
	}
	return maximum, maximum / bound
}

// totals returns the cost served and refused at all daemons since the last resetUsage.
func (fleet *testFleet) totals() (served, refused float64) {
	for _, daemon := range fleet.daemons {
		served += daemon.served
		refused += daemon.refused
	}
	return served, refused
}

// resetUsage clears the recorded use and the counts of served and refused cost.
func (fleet *testFleet) resetUsage() {
	fleet.uses = nil
	for _, daemon := range fleet.daemons {
		daemon.served, daemon.refused = 0, 0
	}
}

// injectFaults kills, cuts off (in either direction or both) or freezes random daemons, and replaces the allocator.
func (fleet *testFleet) injectFaults() {
	if fleet.random.Float64() < 0.01 {
		daemon := fleet.daemons[fleet.random.Intn(len(fleet.daemons))]
		until := fleet.now.Add(time.Duration(fleet.random.Intn(7000)) * time.Millisecond)
		switch fleet.random.Intn(3) {
		case 0:
			daemon.limiter, daemon.waiting, daemon.downUntil = NewLimiter(), nil, until
			daemon.incarnation++
		case 1:
			daemon.cutOffUntil = until
			daemon.losesIncoming, daemon.losesOutgoing = fleet.random.Intn(3) > 0, fleet.random.Intn(3) > 0
		default:
			daemon.frozenUntil = until
		}
	}
	if fleet.random.Float64() < 0.001 {
		fleet.noAllocatorUntil = fleet.now.Add(time.Duration(fleet.random.Intn(6000)) * time.Millisecond)
		fleet.allocator = nil
	}
	if fleet.allocator == nil && fleet.now.After(fleet.noAllocatorUntil) {
		fleet.startAllocator()
	}
}
