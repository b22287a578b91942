package simulation

import (
	"net/http"
	"sort"
	"time"
)

// Latencies are the acknowledgement times of changes, and the times for which daemons without a fault of their own
// could not serve, while one kind of fault was injected repeatedly.
type Latencies struct {
	Acks []time.Duration
	// Gaps are the periods in which such a daemon did not serve, Starts the times from a daemon's start until it served.
	Gaps, Starts []time.Duration
	Violations   []string
}

// Quantile returns the duration that the given fraction of durations does not exceed.
func Quantile(lengths []time.Duration, part float64) time.Duration {
	if len(lengths) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, lengths...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left] < sorted[right] })
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

const (
	latencyRunLength      = 30 * time.Second
	latencySampleInterval = 10 * time.Millisecond
	// settlingTime is the time after its start, or after the end of its fault, from which a daemon should serve without a
	// gap.
	settlingTime = 3 * time.Second
	// lostOrderTimeout is the time after which a change without an answer is recorded with the time that has passed, and
	// the next change is sent.
	lostOrderTimeout = 7 * time.Second
	// latencyOperations is the offset of these operators' operation numbers, beyond those of the other operators.
	latencyOperations = 2_000_000
)

// MeasureLatencies runs a shape with kinds of fault, one at a time, and with one change in flight at any time.
func MeasureLatencies(seed int64, shape Shape, names []string) *Latencies {
	world := NewDeployment(seed, shape)
	world.Run(bootstrapTime)
	orders := &orderWatch{world: world, operators: newOperators(world, latencyOperations)}
	daemons := newDaemonWatch(world)
	end := world.Now.Add(latencyRunLength)
	var sample func()
	sample = func() {
		orders.sample()
		daemons.sample()
		if world.Now.Before(end) {
			world.After(latencySampleInterval, sample)
		}
	}
	sample()
	scheduleFaults(world, latencyRunLength, names, 1)
	world.Run(latencyRunLength + time.Second)
	return &Latencies{Acks: orders.acks, Gaps: daemons.gaps, Starts: daemons.starts, Violations: world.Check.Violations}
}

// orderWatch keeps one change in flight and records the time until each is acknowledged.
type orderWatch struct {
	world     *World
	operators *Operators
	order     *Order
	// target is the machine that the change was sent to, in its incarnation at that time. A change whose target has a
	// fault is not counted.
	target      *Host
	incarnation int
	acks        []time.Duration
}

// sample checks the current change, and sends the next one when it is over.
func (watch *orderWatch) sample() {
	if watch.target != nil && watch.isTargetFaulty() {
		watch.order = nil
	}
	watch.resendUnanswered()
	if watch.order == nil || watch.order.isAnswered() ||
		watch.world.Now.Sub(watch.order.Sent) > lostOrderTimeout {
		watch.recordLatency()
		watch.sendNext()
	}
}

// isTargetFaulty reports whether the target has had a fault since the change was sent.
func (watch *orderWatch) isTargetFaulty() bool {
	return watch.target.incarnation != watch.incarnation || watch.target.frozen ||
		watch.world.topology.severed(watch.target)
}

// resendUnanswered sends a change whose outcome is unknown again, unchanged and to another machine; its time still
// counts from the first attempt.
func (watch *orderWatch) resendUnanswered() {
	if watch.order == nil || watch.order.isAnswered() || watch.order.Status != http.StatusGatewayTimeout {
		return
	}
	sent := watch.order.Sent
	watch.target = watch.world.pick(watch.world.Cores())
	watch.incarnation, watch.order = watch.target.incarnation, watch.operators.resend(watch.target)
	watch.order.Sent = sent
}

// recordLatency records the time of the last change; for one without an answer, the time until now.
func (watch *orderWatch) recordLatency() {
	order := watch.order
	if order == nil || order.isRefused() {
		return
	}
	if !order.isAnswered() {
		order.Got = watch.world.Now
	}
	watch.acks = append(watch.acks, order.Got.Sub(order.Sent))
}

// sendNext sends the next change to a healthy machine, if there is one.
func (watch *orderWatch) sendNext() {
	world := watch.world
	watch.operators.readNewest()
	var healthy []*Host
	for _, host := range world.Cores() {
		if host.up && !host.frozen {
			healthy = append(healthy, host)
		}
	}
	if len(healthy) > 0 {
		watch.target = world.pick(healthy)
		watch.incarnation, watch.order = watch.target.incarnation, watch.operators.apply(watch.target)
	}
}

// daemonWatch records the times from daemons' starts until they serve, and the gaps in their service while they have no
// fault of their own.
type daemonWatch struct {
	world *World
	// paused holds the times at which daemons stopped serving, starting the times at which they were started.
	paused, starting map[*Host]time.Time
	// lastFaultAt holds the time at which each daemon was last observed with a fault.
	lastFaultAt  map[*Host]time.Time
	incarnations map[*Host]int
	gaps, starts []time.Duration
}

func newDaemonWatch(world *World) *daemonWatch {
	watch := &daemonWatch{
		world:        world,
		paused:       map[*Host]time.Time{},
		starting:     map[*Host]time.Time{},
		lastFaultAt:  map[*Host]time.Time{},
		incarnations: map[*Host]int{},
	}
	for _, host := range world.Daemons() {
		watch.incarnations[host] = host.incarnation
	}
	return watch
}

// sample checks every daemon.
func (watch *daemonWatch) sample() {
	for _, host := range watch.world.Daemons() {
		watch.recordStart(host)
		watch.recordService(host)
	}
}

// recordStart records that a daemon has been started since the last sample.
func (watch *daemonWatch) recordStart(host *Host) {
	if host.up && host.incarnation != watch.incarnations[host] {
		watch.incarnations[host] = host.incarnation
		watch.starting[host], watch.lastFaultAt[host] = watch.world.Now, watch.world.Now
	}
}

// recordService records the start and the end of a daemon's gaps while it has no fault of its own.
func (watch *daemonWatch) recordService(host *Host) {
	now := watch.world.Now
	if !host.up || host.frozen || watch.world.topology.severed(host) {
		watch.lastFaultAt[host] = now
		delete(watch.paused, host)
		return
	}
	if !host.daemon.holdsLease() {
		if _, found := watch.paused[host]; !found && now.Sub(watch.lastFaultAt[host]) > settlingTime {
			watch.paused[host] = now
		}
		return
	}
	if started, found := watch.starting[host]; found {
		watch.starts = append(watch.starts, now.Sub(started))
		delete(watch.starting, host)
	}
	if started, found := watch.paused[host]; found {
		watch.gaps = append(watch.gaps, now.Sub(started))
		delete(watch.paused, host)
	}
}
