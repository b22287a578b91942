package placement

import "time"

// Result is what one route, or all together, got on slot runners.
type Result struct {
	// Requests arrived, and Done were answered to the end.
	Requests, Done int
	// Early were refused within earlyRefusal of their arrival, Late were refused afterwards.
	Early, Late int
	// PutBack is how often a full runner rejected a request; NoBudget is how many of these were then given up for want
	// of retry budget.
	PutBack, NoBudget int
	// CrossZone is how many answers came from a runner of another zone than their daemon's.
	CrossZone int
	// Prompted are the prompt tokens of the requests that got a first event, Cached those of them that the runner had
	// in its cache.
	Cached, Prompted int
	// First are the times from arrival to first event.
	First []time.Duration
	// MostAtOnce is the most requests that one runner had, running and queued.
	MostAtOnce int
}

// Quantile returns the time within which such a part (0 to 1) of the first events came.
func (result *Result) Quantile(part float64) time.Duration { return quantile(result.First, part) }

// CacheShare returns the part (0 to 1) of the prompt tokens that runners had in their caches.
func (result *Result) CacheShare() float64 { return ratio(result.Cached, result.Prompted) }

// earlyRefusal is how long after its arrival a refusal still counts as early.
const earlyRefusal = 50 * time.Millisecond

// refused counts a refusal that came so long after the request's arrival.
func (result *Result) refused(after time.Duration) {
	if after > earlyRefusal {
		result.Late++
	} else {
		result.Early++
	}
}
