package simulation

import (
	"net/http"
	"sort"
	"time"

	"wardtray/control/proposal"
)

// Pace is how fast changes were acknowledged, and how long daemons that nothing was done to could not serve,
// while one kind of harm was done again and again.
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
	// settledAfter is how long after its start or the end of its harm a daemon should serve without a pause.
	settledAfter = 3 * time.Second
)

// paceWatch samples a world: how long changes wait for their acknowledgement, and how daemons keep on serving.
type paceWatch struct {
	world     *World
	pace      *Pace
	operators *Operators
	end       time.Time
	order     *Order
	// asked is the machine that the operator asks, in its life at that time; a harm to it says nothing of the others'
	// pace.
	asked       *Host
	incarnation int
	// paused is since when a daemon does not serve, starting since when it starts.
	paused, starting map[*Host]time.Time
	// quietSince is when a daemon was harmed last.
	quietSince   map[*Host]time.Time
	incarnations map[*Host]int
}

// MeasurePace plays a shape with one kind of harm, a change always on its way.
func MeasurePace(seed int64, shape Shape, names []string) *Pace {
	world := Found(seed, shape)
	world.Run(8 * time.Second)
	watch := &paceWatch{
		world:        world,
		pace:         &Pace{},
		operators:    newOperators(world, 2_000_000),
		end:          world.Now.Add(paceLength),
		paused:       map[*Host]time.Time{},
		starting:     map[*Host]time.Time{},
		quietSince:   map[*Host]time.Time{},
		incarnations: map[*Host]int{},
	}
	for _, host := range world.Datas() {
		watch.incarnations[host] = host.incarnation
	}
	watch.sample()
	scheduleFaults(world, paceLength, names, 1)
	world.Run(paceLength + time.Second)
	watch.pace.Broken = world.Check.Violations
	return watch.pace
}

// sample looks at the order and at every daemon, and comes back until the end.
func (watch *paceWatch) sample() {
	world := watch.world
	if watch.asked != nil &&
		(watch.asked.incarnation != watch.incarnation || watch.asked.frozen || world.topology.severed(watch.asked)) {
		watch.order = nil
	}
	watch.askAgain()
	if watch.order == nil || watch.order.isAnswered() || world.Now.Sub(watch.order.Sent) > 7*time.Second {
		watch.count()
		watch.ask()
	}
	for _, host := range world.Datas() {
		watch.look(host)
	}
	if world.Now.Before(watch.end) {
		world.After(paceSample, watch.sample)
	}
}

// askAgain sends an order again, unchanged and elsewhere, that got no clear answer; its time goes on from the first
// sending.
func (watch *paceWatch) askAgain() {
	if watch.order == nil || watch.order.isAnswered() || watch.order.Status != http.StatusGatewayTimeout {
		return
	}
	sent := watch.order.Sent
	watch.asked = watch.world.pick(watch.world.Cores())
	watch.incarnation, watch.order = watch.asked.incarnation, watch.operators.resend(watch.asked)
	watch.order.Sent = sent
}

// count takes down how long the last order took; one without an answer took until now.
func (watch *paceWatch) count() {
	order := watch.order
	if order == nil || order.Outcome == proposal.OutcomeRefused {
		return
	}
	if !order.isAnswered() {
		order.Got = watch.world.Now
	}
	watch.pace.Acks = append(watch.pace.Acks, order.Got.Sub(order.Sent))
}

// ask sends the next change to a machine that is well, if there is one.
func (watch *paceWatch) ask() {
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

// look takes down a daemon's starts and its pauses while it is left alone.
func (watch *paceWatch) look(host *Host) {
	world := watch.world
	serves := host.up && !host.frozen && host.daemon.holdsLease()
	if host.incarnation != watch.incarnations[host] && host.up {
		watch.incarnations[host], watch.starting[host] = host.incarnation, world.Now
		watch.quietSince[host] = world.Now
	}
	if !host.up || host.frozen || world.topology.severed(host) {
		watch.quietSince[host] = world.Now
		delete(watch.paused, host)
		return
	}
	if !serves {
		if _, found := watch.paused[host]; !found && world.Now.Sub(watch.quietSince[host]) > settledAfter {
			watch.paused[host] = world.Now
		}
		return
	}
	if started, found := watch.starting[host]; found {
		watch.pace.Starts = append(watch.pace.Starts, world.Now.Sub(started))
		delete(watch.starting, host)
	}
	if started, found := watch.paused[host]; found {
		watch.pace.Gaps = append(watch.pace.Gaps, world.Now.Sub(started))
		delete(watch.paused, host)
	}
}
