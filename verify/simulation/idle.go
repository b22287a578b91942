package simulation

import (
	"time"
)

// Idle is what a process of one kind sends and receives in a second in which nothing happens.
type Idle struct {
	Sent, Received, Bytes float64
	// Kinds are the messages sent, by kind.
	Kinds map[string]float64
}

// MeasureIdle returns what data daemons, cores, and the busiest core do in a second of quiet.
func MeasureIdle(seed int64, shape Shape) (data, core, busiest Idle) {
	const length = 10 * time.Second
	world := Found(seed, shape, func(world *World) { startRegisteringRunners(world, 18, shape.Zones) })
	world.Run(10 * time.Second)
	counts := map[*Host]*Idle{}
	of := func(host *Host) *Idle {
		if counts[host] == nil {
			counts[host] = &Idle{Kinds: map[string]float64{}}
		}
		return counts[host]
	}
	world.network.Metrics = func(from, to *Host, kind string, size int) {
		of(from).Sent += 1 / length.Seconds()
		of(from).Bytes += float64(size) / length.Seconds()
		of(from).Kinds[kind] += 1 / length.Seconds()
		if to != nil {
			of(to).Received += 1 / length.Seconds()
			of(to).Bytes += float64(size) / length.Seconds()
		}
	}
	world.Run(length)
	world.network.Metrics = nil
	mean := func(hosts []*Host) Idle {
		sum := Idle{Kinds: map[string]float64{}}
		for _, host := range hosts {
			one, share := of(host), 1/float64(len(hosts))
			sum.Sent += share * one.Sent
			sum.Received += share * one.Received
			sum.Bytes += share * one.Bytes
			for kind, count := range one.Kinds {
				sum.Kinds[kind] += share * count
			}
		}
		return sum
	}
	for _, host := range world.Cores() {
		if one := of(host); one.Sent > busiest.Sent {
			busiest = *one
		}
	}
	return mean(world.Datas()), mean(world.Cores()), busiest
}
