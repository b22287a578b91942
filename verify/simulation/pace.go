package simulation

import (
	"net/http"
	"sort"
	"time"
)

// Pace is how fast changes were acknowledged, and how long daemons that nothing was done to could not serve,
// while one kind of fault was done again and again.
type Pace struct {
	Acks []time.Duration
	// Gaps are the spans in which such a daemon did not serve; Starts is how long one took to serve after its start.
	Gaps, Starts []time.Duration
	Broken       []string
}

// At returns the length that a part of them do not exceed.
func At(lengths []time.Duration, part float64) time.Duration {
	if len(lengths) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, lengths...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left] < sorted[right] })
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

const (
	paceLength = 30 * time.Second
	paceSample = 10 * time.Millisecond
	// settledAfter is how long after its start or the end of its fault a daemon should serve without a pause.
	settledAfter = 3 * time.Second
	// lostOrderTimeout is after what time a change without an answer counts as it is, and another one is sent.
	lostOrderTimeout = 7 * time.Second
	// paceOrders is above the numbers of all changes that ordinary operators send.
	paceOrders = 2_000_000
)

// MeasurePace plays a shape with kinds of fault, one at a time, a change always on its way.
func MeasurePace(seed int64, shape Shape, names []string) *Pace {
	world := Found(seed, shape)
	world.Run(foundingTime)
	orders := &orderWatch{world: world, operators: newOperators(world, paceOrders)}
	daemons := newDaemonWatch(world)
	end := world.Now.Add(paceLength)
	var sample func()
	sample = func() {
		orders.sample()
		daemons.sample()
		if world.Now.Before(end) {
			world.After(paceSample, sample)
		}
	}
	sample()
	scheduleFaults(world, paceLength, names, 1)
	world.Run(paceLength + time.Second)
	return &Pace{Acks: orders.acks, Gaps: daemons.gaps, Starts: daemons.starts, Broken: world.Check.Violations}
}

// orderWatch keeps a change on its way and takes down how long each waits for its acknowledgement.
type orderWatch struct {
	world     *World
	operators *Operators
	order     *Order
	// asked is the machine that the operator asks, in its life at that time; a fault of it says nothing of the others'
	// pace.
	asked       *Host
	incarnation int
	acks        []time.Duration
}

// sample looks at the present change, and sends the next one when it is over.
func (watch *orderWatch) sample() {
	if watch.asked != nil && watch.isAskedFaulty() {
		watch.order = nil
	}
	watch.askAgain()
	if watch.order == nil || watch.order.isAnswered() ||
		watch.world.Now.Sub(watch.order.Sent) > lostOrderTimeout {
		watch.count()
		watch.ask()
	}
}

// isAskedFaulty reports whether a fault was done to the machine that was asked.
func (watch *orderWatch) isAskedFaulty() bool {
	return watch.asked.incarnation != watch.incarnation || watch.asked.frozen ||
		watch.world.topology.severed(watch.asked)
}

// askAgain sends an order again, unchanged and elsewhere, that got no clear answer; its time goes on from the first
// sending.
func (watch *orderWatch) askAgain() {
	if watch.order == nil || watch.order.isAnswered() || watch.order.Status != http.StatusGatewayTimeout {
		return
	}
	sent := watch.order.Sent
	watch.asked = watch.world.pick(watch.world.Cores())
	watch.incarnation, watch.order = watch.asked.incarnation, watch.operators.resend(watch.asked)
	watch.order.Sent = sent
}

// count takes down how long the last order took; one without an answer took until now.
func (watch *orderWatch) count() {
	order := watch.order
	if order == nil || order.isRefused() {
		return
	}
	if !order.isAnswered() {
		order.Got = watch.world.Now
	}
	watch.acks = append(watch.acks, order.Got.Sub(order.Sent))
}

// ask sends the next change to a machine that is well, if there is one.
func (watch *orderWatch) ask() {
	world := watch.world
	watch.operators.readNewest()
	var well []*Host
	for _, host := range world.Cores() {
		if host.up && !host.frozen {
			well = append(well, host)
		}
	}
	if len(well) > 0 {
		watch.asked = world.pick(well)
		watch.incarnation, watch.order = watch.asked.incarnation, watch.operators.apply(watch.asked)
	}
}

// daemonWatch takes down how daemons serve: how long after their starts, and with what pauses while nothing is done to
// them.
type daemonWatch struct {
	world *World
	// paused is since when a daemon does not serve, starting since when it starts.
	paused, starting map[*Host]time.Time
	// quietSince is when a fault of a daemon was seen last.
	quietSince   map[*Host]time.Time
	incarnations map[*Host]int
	gaps, starts []time.Duration
}

func newDaemonWatch(world *World) *daemonWatch {
	watch := &daemonWatch{
		world:        world,
		paused:       map[*Host]time.Time{},
		starting:     map[*Host]time.Time{},
		quietSince:   map[*Host]time.Time{},
		incarnations: map[*Host]int{},
	}
	for _, host := range world.Datas() {
		watch.incarnations[host] = host.incarnation
	}
	return watch
}

// sample looks at every daemon.
func (watch *daemonWatch) sample() {
	for _, host := range watch.world.Datas() {
		watch.recordStart(host)
		watch.recordService(host)
	}
}

// recordStart notes that a daemon has been started since it was looked at last.
func (watch *daemonWatch) recordStart(host *Host) {
	if host.up && host.incarnation != watch.incarnations[host] {
		watch.incarnations[host] = host.incarnation
		watch.starting[host], watch.quietSince[host] = watch.world.Now, watch.world.Now
	}
}

// recordService notes the beginning and the end of a daemon's pauses while it is left alone.
func (watch *daemonWatch) recordService(host *Host) {
	now := watch.world.Now
	if !host.up || host.frozen || watch.world.topology.severed(host) {
		watch.quietSince[host] = now
		delete(watch.paused, host)
		return
	}
	if !host.daemon.holdsLease() {
		if _, found := watch.paused[host]; !found && now.Sub(watch.quietSince[host]) > settledAfter {
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
