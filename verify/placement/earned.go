package placement

import (
	"sort"
	"time"
)

// Earned is what one route, or all together, earned.
type Earned struct {
	Requests, InTime, Late, Refused, Failed, Sends, CrossZone int
	MaximumValue, Value                                       float64
	// Large and LargeServed count the largest tenth.
	Large, LargeServed int
	// Shared are the tokens of shared parts, Reread those read though some runner kept them.
	Shared, RereadTokens int
	// Probes are reports asked for, CrossZoneBytes what went between zones.
	Probes         int
	CrossZoneBytes float64
	First          []time.Duration
	Window         map[int][2]float64
}

// Share is the part of what is owed that was earned.
func (earned *Earned) Share() float64 { return earned.Value / max(1e-9, earned.MaximumValue) }

// The prices of rereading a thousand tokens, of a probe and of a gigabyte between zones, in worth.
const (
	rereadPrice    = 0.62
	probePrice     = 0.019
	crossZonePrice = 3300
)

// Net is the same less the prices.
func (earned *Earned) Net() float64 {
	net := earned.Value - rereadPrice*float64(earned.RereadTokens)/1000 - probePrice*float64(earned.Probes) -
		crossZonePrice*earned.CrossZoneBytes/1e9
	return net / max(1e-9, earned.MaximumValue)
}

// Worst is the same over the worst three seconds of which a good part was owed.
func (earned *Earned) Worst() float64 {
	worst, mean := 1.0, earned.MaximumValue/float64(max(1, len(earned.Window)))
	for _, window := range earned.Window {
		if window[0] > mean/2 {
			worst = min(worst, window[1]/window[0])
		}
	}
	return worst
}

// Quantile returns the value below which such a part of the first events lies.
func (earned *Earned) Quantile(part float64) time.Duration {
	if len(earned.First) == 0 {
		return 0
	}
	sort.Slice(earned.First, func(left, right int) bool { return earned.First[left] < earned.First[right] })
	return earned.First[min(len(earned.First)-1, int(part*float64(len(earned.First))))]
}

// windowLength is how long each window lasts for which worth is added up.
const windowLength = 3 * time.Second

// end adds up the end of one request.
func (earned *Earned) end(made *order, window int, complete, inTime bool) {
	value := 0.0
	if !complete {
		earned.Failed++
	} else if inTime {
		earned.InTime++
		value = made.value
	} else {
		earned.Late++
		value = made.late
	}
	if complete && made.large {
		earned.LargeServed++
	}
	earned.Value += value
	cell := earned.Window[window]
	cell[1] += value
	earned.Window[window] = cell
}
