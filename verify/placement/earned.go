package placement

import (
	"time"
)

const (
	// windowLength is how long each window lasts for which values are added up.
	windowLength = 3 * time.Second
	// windowsPerSeed keeps the windows of several seeds apart.
	windowsPerSeed = 1000
)

// The prices of rereading a thousand tokens, of a poll and of a gigabyte between zones, in units of value.
const (
	rereadPrice    = 0.62
	probePrice     = 0.019
	crossZonePrice = 3300
)

// Earned is what one route, or all together, earned on batch runners.
type Earned struct {
	// Requests arrived. InTime were answered completely within their latency target and pauses, Late otherwise; Refused
	// were refused, and Failed were not answered completely.
	Requests, InTime, Late, Refused, Failed int
	// Sends are attempts at runners; CrossZone are first events from a runner of another zone than the daemon's.
	Sends, CrossZone int
	// MaximumValue is the value of all requests, Value that of those answered.
	MaximumValue, Value float64
	// Large and LargeServed count the largest tenth.
	Large, LargeServed int
	// Shared are the tokens of shared parts, RereadTokens those read though some runner had read them before.
	Shared, RereadTokens int
	// Probes are polls for reports, CrossZoneBytes what went between zones.
	Probes         int
	CrossZoneBytes float64
	// First are the times from arrival to first event.
	First []time.Duration
	// Windows are the values of requests by the window in which they arrived.
	Windows map[int]windowValue
}

// windowValue is the value of the requests that arrived in a window, and what of it was earned.
type windowValue struct{ maximum, earned float64 }

func newEarned() *Earned { return &Earned{Windows: map[int]windowValue{}} }

// Share is the part (0 to 1) of the value of all requests that was earned.
func (earned *Earned) Share() float64 { return earned.Value / max(1e-9, earned.MaximumValue) }

// Net is the same less the prices.
func (earned *Earned) Net() float64 {
	net := earned.Value - rereadPrice*float64(earned.RereadTokens)/1000 - probePrice*float64(earned.Probes) -
		crossZonePrice*earned.CrossZoneBytes/1e9
	return net / max(1e-9, earned.MaximumValue)
}

// Worst is the same as Share over the worst window of those in which a good part of the value arrived.
func (earned *Earned) Worst() float64 {
	worst, mean := 1.0, earned.MaximumValue/float64(max(1, len(earned.Windows)))
	for _, window := range earned.Windows {
		if window.maximum > mean/2 {
			worst = min(worst, window.earned/window.maximum)
		}
	}
	return worst
}

// Quantile returns the time within which such a part (0 to 1) of the first events came.
func (earned *Earned) Quantile(part float64) time.Duration { return quantile(earned.First, part) }

// arrived counts a request at its arrival.
func (earned *Earned) arrived(request *batchRequest) {
	earned.Requests++
	earned.MaximumValue += request.value
	earned.Shared += request.sharedTokens
	if request.large {
		earned.Large++
	}
	window := earned.Windows[request.window]
	window.maximum += request.value
	earned.Windows[request.window] = window
}

// ended counts the end of a request that had been sent to a runner.
func (earned *Earned) ended(request *batchRequest, complete, inTime bool) {
	if !complete {
		earned.Failed++
		return
	}
	if request.large {
		earned.LargeServed++
	}
	value := request.late
	if inTime {
		earned.InTime++
		value = request.value
	} else {
		earned.Late++
	}
	earned.Value += value
	window := earned.Windows[request.window]
	window.earned += value
	earned.Windows[request.window] = window
}

// add adds what was earned with another seed, which is the index of the seed among those that are added up.
func (earned *Earned) add(seed int, other *Earned) {
	earned.Requests += other.Requests
	earned.InTime += other.InTime
	earned.Late += other.Late
	earned.Refused += other.Refused
	earned.Failed += other.Failed
	earned.Sends += other.Sends
	earned.CrossZone += other.CrossZone
	earned.MaximumValue += other.MaximumValue
	earned.Value += other.Value
	earned.Large += other.Large
	earned.LargeServed += other.LargeServed
	earned.Shared += other.Shared
	earned.RereadTokens += other.RereadTokens
	earned.Probes += other.Probes
	earned.CrossZoneBytes += other.CrossZoneBytes
	earned.First = append(earned.First, other.First...)
	for window, value := range other.Windows {
		earned.Windows[seed*windowsPerSeed+window] = value
	}
}
