package simulation

import (
	"slices"
	"strings"
	"time"

	"wardtray/proxy/codec"
)

// AtMostOnceDesign is a design that keeps a request from running twice.
type AtMostOnceDesign string

// The designs that are compared, of those in docs/at-most-once.md.
const (
	// Announced announces each request to the other daemons of the zone, without waiting for answers.
	Announced AtMostOnceDesign = "announced to the zone"
	// ReservedInOneZone reserves with a majority of a group of the zone.
	ReservedInOneZone AtMostOnceDesign = "reserved in one zone"
	// ReservedInAllZones reserves with a majority of a group of every zone.
	ReservedInAllZones AtMostOnceDesign = "reserved in all zones"
)

// AtMostOnceCost is the cost of a design for one at-most-once request, in a fleet without faults or changes.
type AtMostOnceCost struct {
	// Requests is the number of requests measured.
	Requests int
	// Median and P99 are quantiles of the time to the first event.
	Median, P99 time.Duration
	// Messages and Bytes are those between daemons for one request, ZoneBytes those between zones.
	Messages, Bytes, ZoneBytes float64
}

// announcingCodec is the native codec, except that no request is reserved.
type announcingCodec struct{ codec.Native }

// SingleUse is true, so that the daemon makes no reservations.
func (announcingCodec) SingleUse() bool { return true }

// isAtMostOnceMessage reports whether a design sends this kind of message between daemons for a request.
func isAtMostOnceMessage(kind string) bool {
	return strings.HasPrefix(kind, "Reservation") || kind == "RequestDispatched"
}

// MeasureAtMostOnce returns the cost of a design in a deployment with its usual traffic, without faults or changes.
func MeasureAtMostOnce(seed int64, shape Shape, design AtMostOnceDesign) AtMostOnceCost {
	const length = 30 * time.Second
	world := NewDeployment(seed, shape, func(world *World) { world.announcesOnly = design == Announced })
	defer world.Close()
	traffic := world.Traffic
	world.Run(bootstrapTime)
	newOperators(world, 500_000).apply(world.Cores()[0])
	world.Run(3 * time.Second)
	traffic.Rate = DefaultRequestScenario.Rate
	if design == ReservedInAllZones {
		traffic.Undeclared = 1
	}
	world.Run(5 * time.Second)
	messages, bytes, zoneBytes, from := 0, 0, 0, world.Now
	world.network.Metrics = func(from, to *Host, kind string, size int) {
		if !isAtMostOnceMessage(kind) || to == nil {
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
	for _, attempt := range traffic.History.Answers {
		if attempt.AtMostOnce && attempt.Done && attempt.Sent.After(from) {
			firsts = append(firsts, attempt.First)
		}
	}
	slices.Sort(firsts)
	cost := AtMostOnceCost{Requests: len(firsts)}
	if cost.Requests > 0 {
		requests := float64(cost.Requests)
		cost.Median, cost.P99 = firsts[cost.Requests/2], firsts[cost.Requests*99/100]
		cost.Messages, cost.Bytes, cost.ZoneBytes = float64(messages)/requests, float64(bytes)/requests,
			float64(zoneBytes)/requests
	}
	return cost
}
