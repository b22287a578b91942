// Package features lists the scheduling and proxying features of a daemon that can be disabled one at a time, to
// measure their effect; docs/decisions.md holds the measurements. None of them changes the guarantees of the daemons.
package features

import (
	"slices"
	"strings"

	"wardtray/apierror"
)

// Feature is the name of a feature in the setting without.
type Feature string

// The features.
const (
	// LoadReports polls the load of runners periodically.
	LoadReports Feature = "reports"
	// SilenceProbes probes runners that have sent no bytes for some time while a response is outstanding.
	SilenceProbes Feature = "watch"
	// LoadHeader uses the load that runners report in the headers of their responses.
	LoadHeader Feature = "load-header"
	// PrefixIndex records which prefixes were sent to which runner.
	PrefixIndex Feature = "prefix-index"
	// Homes assigns to each prefix, by a hash, the runners that all daemons prefer for it.
	Homes Feature = "homes"
	// OthersEstimate estimates what other daemons have sent to a runner since its last report.
	OthersEstimate Feature = "others-estimate"
	// LongRunners reserves some runners for prompts whose prefill takes long.
	LongRunners Feature = "long-runners"
	// Interference adds to a candidate's cost the delay that the prompt's prefill causes for other requests.
	Interference Feature = "harm"
	// RecomputeCost adds to a candidate's cost the prefill of shared prefix blocks that it does not have cached.
	RecomputeCost Feature = "reread-price"
	// Slowness tracks how much slower a runner responds than the others.
	Slowness Feature = "slowness"
	// ZonePreference adds a cost to candidates in another zone.
	ZonePreference Feature = "zone-preference"
	// Urgency sends runners the order in which to process requests.
	Urgency Feature = "urgency"
	// ConcurrencyWindow limits a daemon's requests in flight; the limit decreases when runners reject requests.
	ConcurrencyWindow Feature = "window"
	// EarlyRefusal refuses requests that would be dispatched too late, instead of queueing them.
	EarlyRefusal Feature = "early-refusal"
	// Ejection sends no requests to a runner for some time after a failure.
	Ejection Feature = "ejection"
	// WarmUp sends few requests to a new runner at first (slow start).
	WarmUp Feature = "warm-up"
	// EarlyRetry retries an idempotent request at another runner while its latency target can still be met.
	EarlyRetry Feature = "early-retry"
	// Resumption continues a broken stream at another runner.
	Resumption Feature = "resumption"
	// QuotaPrefetch requests quota shares from the head before they are needed.
	QuotaPrefetch Feature = "tokens-ahead"
)

// All lists every feature, in the order of docs/decisions.md.
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
	EarlyRefusal,
	Ejection,
	WarmUp,
	EarlyRetry,
	Resumption,
	QuotaPrefetch,
}

// Set is the set of disabled features; the nil set is empty.
type Set map[Feature]bool

// Parse parses the names of the disabled features, separated by commas. An unknown name is an InvalidSettings error
// whose text lists all names.
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
