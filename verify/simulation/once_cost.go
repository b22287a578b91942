package simulation

import (
	"slices"
	"strings"
	"time"

	"wardtray/proxy/codec"
)

// OnceDesign is a way to keep a request from running twice.
type OnceDesign string

// The designs that are compared, of those in docs/at-most-once.md.
const (
	// Announced tells the other daemons of the zone, without waiting.
	Announced OnceDesign = "announced to the zone"
	// ReservedInOneZone reserves with a majority of a group of the zone.
	ReservedInOneZone OnceDesign = "reserved in one zone"
	// ReservedInAllZones reserves with a majority of a group of every zone.
	ReservedInAllZones OnceDesign = "reserved in all zones"
)

// OnceCost is what a design costs a request that runs at most once, in quiet times.
type OnceCost struct {
	// Requests is how many were measured.
	Requests int
	// Median and P99 are of the time to the first event.
	Median, P99 time.Duration
	// Messages and Bytes are those between daemons for one request, ZoneBytes those that cross a border of zones.
	Messages, Bytes, ZoneBytes float64
}

// announcingCodec is the product's own with requests of which none is reserved.
type announcingCodec struct{ codec.Native }

// SingleUse is true, so that the daemon makes no reservations.
func (announcingCodec) SingleUse() bool { return true }

// isOnceMessage reports whether a kind of message between daemons is one that a design sends for a request.
func isOnceMessage(kind string) bool {
	return strings.HasPrefix(kind, "Reservation") || kind == "RequestDispatched"
}

// MeasureOnce returns what a design costs in a deployment with its usual traffic, without faults or changes.
func MeasureOnce(seed int64, shape Shape, design OnceDesign) OnceCost {
	const length = 30 * time.Second
	world := Found(seed, shape, func(world *World) { world.announcesOnly = design == Announced })
	defer world.Close()
	traffic := world.Traffic
	world.Run(foundingTime)
	newOperators(world, 500_000).apply(world.Cores()[0])
	world.Run(3 * time.Second)
	traffic.Rate = DefaultTrial.Rate
	if design == ReservedInAllZones {
		traffic.Undeclared = 1
	}
	world.Run(5 * time.Second)
	messages, bytes, zoneBytes, from := 0, 0, 0, world.Now
	world.network.Metrics = func(from, to *Host, kind string, size int) {
		if !isOnceMessage(kind) || to == nil {
			return
		}
		messages++
		bytes += size
		if from.Zone != to.Zone {
			zoneBytes += size
		}
	}
	world.Run(length)
	var firsts []time.Duration
	for _, answer := range traffic.History.Answers {
		if answer.Once && answer.Done && answer.Sent.After(from) {
			firsts = append(firsts, answer.First)
		}
	}
	slices.Sort(firsts)
	cost := OnceCost{Requests: len(firsts)}
	if cost.Requests > 0 {
		requests := float64(cost.Requests)
		cost.Median, cost.P99 = firsts[cost.Requests/2], firsts[cost.Requests*99/100]
		cost.Messages, cost.Bytes, cost.ZoneBytes = float64(messages)/requests, float64(bytes)/requests,
			float64(zoneBytes)/requests
	}
	return cost
}
