package simulation

import (
	"time"
)

// IdleTraffic is the number of messages that a process sends and receives in an idle second, and their bytes.
type IdleTraffic struct {
	Sent, Received, Bytes float64
	// Kinds are the messages sent, by kind.
	Kinds map[string]float64
}

// MeasureIdleTraffic returns the idle traffic of the average data daemon, the average control node, and the control
// node that sends most.
func MeasureIdleTraffic(seed int64, shape Shape) (data, core, busiest IdleTraffic) {
	const length = 10 * time.Second
	world := NewDeployment(seed, shape, func(world *World) { startRegisteringRunners(world, 18, shape.Zones) })
	world.Run(10 * time.Second)
	counts := map[*Host]*IdleTraffic{}
	of := func(host *Host) *IdleTraffic {
		if counts[host] == nil {
			counts[host] = &IdleTraffic{Kinds: map[string]float64{}}
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
	mean := func(hosts []*Host) IdleTraffic {
		sum := IdleTraffic{Kinds: map[string]float64{}}
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
	return mean(world.Daemons()), mean(world.Cores()), busiest
}
