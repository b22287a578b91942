package simulation

import (
	"fmt"
	"testing"
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

// The times of TestHeadAndHalfOfTheDaemonsLost, counted from the operator's first change.
const (
	lossAt      = 2 * time.Second
	returnAt    = 6 * time.Second
	lossEnd     = 12 * time.Second
	changeEvery = 500 * time.Millisecond
)

// lossPeriod is a period of a run in which the head and half of the daemons are lost.
type lossPeriod int

// The periods, in order.
const (
	beforeLoss lossPeriod = iota
	withoutHead
	withHalf
	afterReturn
	lossPeriods
)

func (period lossPeriod) String() string {
	return [...]string{"before the loss", "without a head", "with half of the daemons", "after the return"}[period]
}

// lossRun is a run of TestHeadAndHalfOfTheDaemonsLost with its counters.
type lossRun struct {
	world    *World
	lost     map[*Host]bool
	period   lossPeriod
	messages [lossPeriods]int
	accepted [lossPeriods]int
	// samples counts the checks of the remaining daemons' leases in each period, unleased those that found none.
	samples, unleased [lossPeriods]int
}

// operate sends a change to a running control machine, and counts it in the period in which it was sent if it is
// acknowledged within changeEvery.
func (run *lossRun) operate(operators *Operators) {
	for _, core := range run.world.Cores() {
		if !core.Up() {
			continue
		}
		operators.readNewest()
		order, period := operators.apply(core), run.period
		run.world.After(changeEvery, func() {
			if order.isAccepted() {
				run.accepted[period]++
			}
		})
		return
	}
}

// advance runs the world until a time, or until done reports true, and samples the remaining daemons' leases.
func (run *lossRun) advance(until time.Time, done func() bool) {
	const sampleEvery = 20 * time.Millisecond
	for run.world.Now.Before(until) && len(run.world.Check.Violations) == 0 && !done() {
		run.world.Run(sampleEvery)
		for _, host := range run.world.Daemons() {
			if run.lost[host] || !host.Up() {
				continue
			}
			run.samples[run.period]++
			if !host.localTime().Before(host.daemon.plane.Snapshot().ExpiresAt) {
				run.unleased[run.period]++
			}
		}
	}
}

func never() bool { return false }

// lose cuts the power of the head and of every other data daemon at once.
func (run *lossRun) lose(t *testing.T) (head *Host) {
	t.Helper()
	head = leader(run.world)
	if head == nil {
		t.Fatal("no head before the loss")
	}
	for index, host := range run.world.Daemons() {
		if index%2 == 0 {
			run.lost[host] = true
			host.PowerOff()
		}
	}
	head.PowerOff()
	return head
}

func (run *lossRun) check(t *testing.T) {
	t.Helper()
	for _, violation := range run.world.Check.Violations {
		t.Error(violation)
	}
	for period := range lossPeriods {
		if run.messages[period] == 0 {
			t.Errorf("%v: no daemon sent a message", period)
		}
		if run.samples[period] == 0 {
			t.Errorf("%v: no lease was sampled", period)
		}
		if period != withoutHead && run.accepted[period] == 0 {
			t.Errorf("%v: no change was acknowledged", period)
		}
	}
	if 2*run.unleased[withHalf] > run.samples[withHalf] {
		t.Errorf("the remaining daemons held no lease in %d of %d samples", run.unleased[withHalf],
			run.samples[withHalf])
	}
	for _, host := range run.world.Daemons() {
		if !host.localTime().Before(host.daemon.plane.Snapshot().ExpiresAt) {
			t.Errorf("%s holds no lease in the end", host.Address)
		}
	}
	t.Logf("messages %v, acknowledged %v, without a lease %v of %v samples", run.messages, run.accepted, run.unleased,
		run.samples)
}

// The head and half of the daemons lose their power at once and come back. Another head takes over, changes are
// acknowledged before, during and after the loss, and the remaining daemons hold leases.
func TestHeadAndHalfOfTheDaemonsLost(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			loseHeadAndHalf(t, seed)
		})
	}
}

func loseHeadAndHalf(t *testing.T, seed int64) {
	t.Helper()
	world := NewDeployment(seed, Guild)
	world.Run(10 * time.Second)
	run := &lossRun{world: world, lost: map[*Host]bool{}}
	world.network.Metrics = func(from, _ *Host, _ string, _ int) {
		if from.core == nil {
			run.messages[run.period]++
		}
	}
	started, operators := world.Now, &Operators{world: world}
	for at := time.Duration(0); at < lossEnd-changeEvery; at += changeEvery {
		world.After(at, func() { run.operate(operators) })
	}
	run.advance(started.Add(lossAt), never)
	head := run.lose(t)
	run.period = withoutHead
	run.advance(started.Add(returnAt), func() bool { return leader(world) != nil })
	if leader(world) == nil {
		t.Fatalf("no head within %v of the loss: %v", returnAt-lossAt, world.Check.Violations)
	}
	run.period = withHalf
	run.advance(started.Add(returnAt), never)
	head.Boot()
	for _, host := range world.Daemons() {
		if run.lost[host] {
			host.Boot()
		}
	}
	clear(run.lost)
	run.period = afterReturn
	run.advance(started.Add(lossEnd), never)
	run.check(t)
}

// In a new fleet the head's directory contains every daemon, the processes send every kind of message that maintains
// it, and the runner updates of the control machines reach the daemons.
func TestFoundedFleetKnowsEveryDaemon(t *testing.T) {
	t.Parallel()
	shape := Shape{Zones: []string{"a", "b", "c"}, Machines: []int{3, 3, 3}, Disks: []int{1, 1, 1}}
	kinds, unaddressed := map[string]bool{}, 0
	world := NewDeployment(1, shape, func(world *World) { startRegisteringRunners(world, 6, shape.Zones) })
	world.network.Metrics = func(from, to *Host, kind string, _ int) {
		if to == nil {
			unaddressed++
			return
		}
		sides := map[bool]string{true: "core", false: "daemon"}
		kinds[sides[from.core != nil]+" to "+sides[to.core != nil]+" "+kind] = true
	}
	world.Run(10 * time.Second)
	head := leader(world)
	if head == nil {
		t.Fatal("no head after 10 s")
	}
	order := world.Check.Send(head,
		&wire.OperatorRequest{Verb: proposal.VerbApply, Spec: SpecText(1), HasBase: true, Operation: "first"})
	world.Run(3 * time.Second)
	if !order.isAccepted() {
		t.Errorf("the change's outcome is %s", order.Outcome)
	}
	directory := head.core.node.Status(head.localTime()).Daemons
	if len(directory) != len(world.Daemons()) {
		t.Errorf("the directory holds %d of %d daemons", len(directory), len(world.Daemons()))
	}
	wanted := []string{
		"daemon to core DaemonLeaseRequest",
		"core to daemon DaemonLeaseGrant",
		"daemon to daemon Shuffle",
		"daemon to daemon Digest",
		"daemon to daemon GossipMessage",
		"core to daemon RunnerUpdate",
	}
	for _, kind := range wanted {
		if !kinds[kind] {
			t.Errorf("no %s was sent; seen: %v", kind, kinds)
		}
	}
	if unaddressed > 0 {
		t.Errorf("%d messages had an unknown target", unaddressed)
	}
	world.RegisteringRunners.check.requireFinalLists()
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
}
