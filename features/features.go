// Package mechanism lists the mechanisms by which a daemon decides, each of which can be switched off to measure what it
// is worth. None of them changes what the rules promise. docs/decisions.md holds the measurements.
package features

import (
	"slices"
	"strings"

	"wardtray/apierror"
)

// Feature is the name of one mechanism.
type Feature string

// The mechanisms.
const (
	// Reports asks runners for their load at regular times.
	Reports Feature = "reports"
	// Watch asks runners that are waited for in silence whether they are there at all.
	Watch Feature = "watch"
	// LoadHeader takes in the load that runners tell in their answers.
	LoadHeader Feature = "load-header"
	// PrefixIndex remembers which runner was sent which prefix.
	PrefixIndex Feature = "prefix-index"
	// Homes gives each opening runners on which all daemons agree.
	Homes Feature = "homes"
	// OthersEstimate reckons what other daemons send to a runner beyond what it tells.
	OthersEstimate Feature = "others-estimate"
	// LongRunners keeps some runners for prompts that take long to read.
	LongRunners Feature = "long-runners"
	// Harm counts how long a prompt's reading keeps others waiting.
	Harm Feature = "harm"
	// RereadPrice counts what it costs to read shared parts again, beside the time.
	RereadPrice Feature = "reread-price"
	// Slowness follows how much slower than the others a runner answers.
	Slowness Feature = "slowness"
	// ZonePreference counts the way into another zone.
	ZonePreference Feature = "zone-preference"
	// Urgency tells runners which requests go first.
	Urgency Feature = "urgency"
	// Window bounds a daemon's concurrent requests by what runners put back.
	Window Feature = "window"
	// EarlyRefusal refuses requests whose turn would come too late, rather than letting them wait.
	EarlyRefusal Feature = "early-refusal"
	// Ejection leaves runners alone for a while after a failure.
	Ejection Feature = "ejection"
	// WarmUp sends new runners little at first.
	WarmUp Feature = "warm-up"
	// EarlyRetry begins a repeatable request anew elsewhere before its time is over.
	EarlyRetry Feature = "early-retry"
	// Resumption goes on with a broken stream at another runner.
	Resumption Feature = "resumption"
	// TokensAhead holds tokens of quotas ahead of the demand.
	TokensAhead Feature = "tokens-ahead"
)

// All lists them in the order of docs/decisions.md.
var All = []Feature{Reports, Watch, LoadHeader, PrefixIndex, Homes, OthersEstimate, LongRunners, Harm, RereadPrice, Slowness, ZonePreference,
	Urgency, Window, EarlyRefusal, Ejection, WarmUp, EarlyRetry, Resumption, TokensAhead}

// Set holds the mechanisms that are switched off; the nil set holds none.
type Set map[Feature]bool

// Parse gives the set of some names, separated by commas; an unknown one is a fault that lists all.
func Parse(text string) (Set, error) {
	set := Set{}
	for _, name := range strings.Split(text, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(All, Feature(name)) {
			return nil, apierror.New(apierror.BadSettings, "without: %q is none of %v", name, All)
		}
		set[Feature(name)] = true
	}
	return set, nil
}
