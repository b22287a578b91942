// Package features lists the features by which a daemon decides that can be switched off one at a time, to measure what
// each is worth; docs/decisions.md holds the measurements. None of them changes what the daemons guarantee.
package features

import (
	"slices"
	"strings"

	"wardtray/apierror"
)

// Feature is the name of a feature, as the setting without has it.
type Feature string

// The features.
const (
	// LoadReports polls the load of runners at regular times.
	LoadReports Feature = "reports"
	// SilenceProbes probes runners from which a response has been outstanding for long without any bytes.
	SilenceProbes Feature = "watch"
	// LoadHeader uses the load that runners report in the headers of their responses.
	LoadHeader Feature = "load-header"
	// PrefixIndex remembers which runner was sent which prefix.
	PrefixIndex Feature = "prefix-index"
	// Homes assigns to each prefix the runners that all daemons prefer for it, by a hash.
	Homes Feature = "homes"
	// OthersEstimate estimates what other daemons have sent to a runner since its last report.
	OthersEstimate Feature = "others-estimate"
	// LongRunners reserves some runners for prompts whose prefill takes long.
	LongRunners Feature = "long-runners"
	// Interference adds to a candidate's cost the delay that the prompt's prefill causes for other requests.
	Interference Feature = "harm"
	// RecomputeCost adds to a candidate's cost the prefill of shared prefix blocks that it does not have cached.
	RecomputeCost Feature = "reread-price"
	// Slowness tracks how much slower than the others a runner responds.
	Slowness Feature = "slowness"
	// ZonePreference adds to a candidate's cost that it is in another zone.
	ZonePreference Feature = "zone-preference"
	// Urgency sends runners the order in which to process requests.
	Urgency Feature = "urgency"
	// ConcurrencyWindow bounds a daemon's requests in flight, and narrows when runners reject some.
	ConcurrencyWindow Feature = "window"
	// EarlyRejection rejects requests that would be dispatched too late, rather than queueing them.
	EarlyRejection Feature = "early-refusal"
	// Ejection keeps requests from a runner for a time after a failure.
	Ejection Feature = "ejection"
	// WarmUp sends new runners few requests at first (slow start).
	WarmUp Feature = "warm-up"
	// EarlyRetry retries an idempotent request at another runner while its latency target can still be met.
	EarlyRetry Feature = "early-retry"
	// Resumption continues a broken stream at another runner.
	Resumption Feature = "resumption"
	// QuotaPrefetch reserves units of quotas before they are needed.
	QuotaPrefetch Feature = "tokens-ahead"
)

// All lists the features, in the order of docs/decisions.md.
var All = []Feature{
	LoadReports,
	SilenceProbes,
	LoadHeader,
	PrefixIndex,
	Homes,
	OthersEstimate,
	LongRunners,
	Interference,
	RecomputeCost,
	Slowness,
	ZonePreference,
	Urgency,
	ConcurrencyWindow,
	EarlyRejection,
	Ejection,
	WarmUp,
	EarlyRetry,
	Resumption,
	QuotaPrefetch,
}

// Set holds the features that are switched off; the nil set holds none.
type Set map[Feature]bool

// Parse returns the set of names that are separated by commas. An unknown name is an InvalidSettings error listing all.
func Parse(text string) (Set, error) {
	set := Set{}
	for _, name := range strings.Split(text, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(All, Feature(name)) {
			return nil, apierror.New(apierror.InvalidSettings, "without: %q is none of %v", name, All)
		}
		set[Feature(name)] = true
	}
	return set, nil
}
