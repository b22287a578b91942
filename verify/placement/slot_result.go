package placement

import "time"

// SlotResult holds the results of one route, or of all routes together, on slot runners.
type SlotResult struct {
	// Requests counts arrivals, Done complete answers.
	Requests, Done int
	// RefusedEarly counts refusals within maximumEarlyRefusal of the arrival, RefusedLate later refusals.
	RefusedEarly, RefusedLate int
	// Rejected counts rejections by full runners, RetriesDenied those after which the retry budget allowed no retry, so
	// that the request failed.
	Rejected, RetriesDenied int
	// CrossZone counts answers from a runner in another zone than the daemon's.
	CrossZone int
	// PromptTokens counts the prompt tokens of the requests with a first event, CachedTokens those that were in the
	// runner's cache.
	CachedTokens, PromptTokens int
	// FirstEventTimes holds the times from arrival to first event.
	FirstEventTimes []time.Duration
	// MaximumActive is the maximum number of running and queued requests of a runner.
	MaximumActive int
}

// Quantile returns the time within which a fraction (0 to 1) of the first events arrived.
func (result *SlotResult) Quantile(fraction float64) time.Duration {
	return quantile(result.FirstEventTimes, fraction)
}

// CacheShare returns the share (0 to 1) of the prompt tokens that were in the runners' caches.
func (result *SlotResult) CacheShare() float64 {
	return ratio(result.CachedTokens, result.PromptTokens)
}

// maximumEarlyRefusal is the maximum time from the arrival of a request to a refusal that counts as early.
const maximumEarlyRefusal = 50 * time.Millisecond

// refused records a refusal; after is the time from the request's arrival to the refusal.
func (result *SlotResult) refused(after time.Duration) {
	if after > maximumEarlyRefusal {
		result.RefusedLate++
	} else {
		result.RefusedEarly++
	}
}
