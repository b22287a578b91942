package sim

import (
	"sort"
	"time"
)

// Pace is how fast changes were acknowledged, and how long daemons that nothing was done to could not serve,
// while one kind of harm was done again and again.
type Pace struct {
	Acks []time.Duration
	// Gaps are the spans in which such a daemon did not serve; Starts is how long one took to serve after its start.
	Gaps, Starts []time.Duration
	Broken       []string
}

// At gives the length that a part of them do not exceed.
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

// MeasurePace plays a shape with one kind of harm, a change always on its way.
func MeasurePace(seed int64, shape Shape, names []string) *Pace {
	world, pace := Found(seed, shape), &Pace{}
	world.Run(8 * time.Second)
	operators := &Operators{world: world, number: 2_000_000}
	var order *Order
	// asked is the machine that the operator asks; a harm to it says nothing of the others' pace.
	var asked *Host
	life := 0
	since, lives, starting := map[*Host]time.Time{}, map[*Host]int{}, map[*Host]time.Time{}
	quietSince := map[*Host]time.Time{}
	for _, host := range world.Datas() {
		lives[host] = host.life
	}
	end := world.Now.Add(paceLength)
	var sample func()
	sample = func() {
		if asked != nil && (asked.life != life || asked.frozen || world.severed(asked)) {
			order = nil
		}
		// Who got no clear answer sends the same change again; the time goes on from the first sending.
		if order != nil && order.Outcome == "unknown" && order.Status == 504 {
			sent := order.Sent
			asked = world.pick(world.Cores())
			life, order = asked.life, operators.again(asked)
			order.Sent = sent
		}
		if order == nil || order.Outcome != "unknown" || world.Now.Sub(order.Sent) > 7*time.Second {
			if order != nil && order.Outcome != "refused" {
				if order.Outcome == "unknown" {
					order.Got = world.Now
				}
				pace.Acks = append(pace.Acks, order.Got.Sub(order.Sent))
			}
			operators.base = world.Check.greatestKnown()
			var well []*Host
			for _, host := range world.Cores() {
				if host.up && !host.frozen {
					well = append(well, host)
				}
			}
			if len(well) > 0 {
				asked = world.pick(well)
				life, order = asked.life, operators.apply(asked)
			}
		}
		for _, host := range world.Datas() {
			local := world.local(host)
			serves := host.up && !host.frozen && local.Before(host.data.Until(local))
			if host.life != lives[host] && host.up {
				lives[host], starting[host] = host.life, world.Now
				quietSince[host] = world.Now
			}
			if !host.up || host.frozen || world.severed(host) {
				quietSince[host] = world.Now
				delete(since, host)
				continue
			}
			if begun, found := starting[host]; found && serves {
				pace.Starts = append(pace.Starts, world.Now.Sub(begun))
				delete(starting, host)
			}
			if serves {
				if begun, found := since[host]; found {
					pace.Gaps = append(pace.Gaps, world.Now.Sub(begun))
					delete(since, host)
				}
				continue
			}
			if _, found := since[host]; !found && world.Now.Sub(quietSince[host]) > settledAfter {
				since[host] = world.Now
			}
		}
		if world.Now.Before(end) {
			world.After(paceSample, sample)
		}
	}
	sample()
	world.Schedule(paceLength, names, 1)
	world.Run(paceLength + time.Second)
	pace.Broken = world.Check.Broken
	return pace
}

// severed tells whether a cut stands between a host and any other.
func (world *World) severed(host *Host) bool {
	for pair := range world.cuts {
		if pair[0] == host.Address || pair[1] == host.Address {
			return true
		}
	}
	return false
}
