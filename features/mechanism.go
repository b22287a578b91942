// Package mechanism lists the mechanisms by which a daemon decides, each of which can be switched off to measure what it
// is worth. None of them changes what the rules promise. docs/decisions.md holds the measurements.
package features

import (
	"slices"
	"strings"

	"wardtray/apierror"
)

// Name is the name of one mechanism.
type Name string

// The mechanisms.
const (
	// Reports asks runners for their load at regular times.
	Reports Name = "reports"
	// Watch asks runners that are waited for in silence whether they are there at all.
	Watch Name = "watch"
	// LoadHeader takes in the load that runners tell in their answers.
	LoadHeader Name = "load-header"
	// PrefixIndex remembers which runner was sent which prefix.
	PrefixIndex Name = "prefix-index"
	// Homes gives each opening runners on which all daemons agree.
	Homes Name = "homes"
	// OthersEstimate reckons what other daemons send to a runner beyond what it tells.
	OthersEstimate Name = "others-estimate"
	// LongRunners keeps some runners for prompts that take long to read.
	LongRunners Name = "long-runners"
	// Harm counts how long a prompt's reading keeps others waiting.
	Harm Name = "harm"
	// RereadPrice counts what it costs to read shared parts again, beside the time.
	RereadPrice Name = "reread-price"
	// Slowness follows how much slower than the others a runner answers.
	Slowness Name = "slowness"
	// ZonePreference counts the way into another zone.
	ZonePreference Name = "zone-preference"
	// Urgency tells runners which requests go first.
	Urgency Name = "urgency"
	// Window bounds a daemon's concurrent requests by what runners put back.
	Window Name = "window"
	// EarlyRefusal refuses requests whose turn would come too late, rather than letting them wait.
	EarlyRefusal Name = "early-refusal"
	// Ejection leaves runners alone for a while after a failure.
	Ejection Name = "ejection"
	// WarmUp sends new runners little at first.
	WarmUp Name = "warm-up"
	// EarlyRetry begins a repeatable request anew elsewhere before its time is over.
	EarlyRetry Name = "early-retry"
	// Resumption goes on with a broken stream at another runner.
	Resumption Name = "resumption"
	// TokensAhead holds tokens of quotas ahead of the demand.
	TokensAhead Name = "tokens-ahead"
)

// All lists them in the order of docs/decisions.md.
var All = []Name{Reports, Watch, LoadHeader, PrefixIndex, Homes, OthersEstimate, LongRunners, Harm, RereadPrice, Slowness, ZonePreference,
	Urgency, Window, EarlyRefusal, Ejection, WarmUp, EarlyRetry, Resumption, TokensAhead}

// Set holds the mechanisms that are switched off; the nil set holds none.
type Set map[Name]bool

// Parse gives the set of some names, separated by commas; an unknown one is a fault that lists all.
func Parse(text string) (Set, error) {
	set := Set{}
	for _, name := range strings.Split(text, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(All, Name(name)) {
			return nil, apierror.New(apierror.BadStartup, "without: %q is none of %v", name, All)
		}
		set[Name(name)] = true
	}
	return set, nil
}
