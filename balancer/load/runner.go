package load

import "time"

// ReasonDraining is the Reason of a runner that is unusable because it is draining or no longer listed.
const ReasonDraining = "leaving"

// Runner is a snapshot of one runner; it is a copy.
type Runner struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
	Service string `json:"Service"`
	// State is the state in the platform's runner list: "ready", "cold" or "draining".
	State string `json:"State"`
	// Slots is the number of requests that the runner's engine processes concurrently.
	Slots int `json:"Slots"`
	// Load is the estimated number of requests on the runner: this daemon's, and those of other daemons by its smoothed
	// reports.
	Load float64 `json:"Load"`
	// LatestLoad is lower than Load if the newest report alone shows fewer requests of other daemons, and these are at
	// most half of the slots; it equals Load otherwise.
	LatestLoad float64 `json:"Sure"`
	// InFlight is the number of this daemon's requests on the runner.
	InFlight int `json:"InFlight"`
	// Reported is the time of the newest report, zero if there is none; OthersWaiting is the number of requests of other
	// daemons that waited for the engine at that time.
	Reported      time.Time `json:"Told"`
	OthersWaiting int       `json:"OthersWaiting"`
	// UsedTokens is the memory in use and MemoryTokens the memory size, both as last reported and in tokens; MemoryTokens
	// is 0 if not reported.
	UsedTokens   int `json:"Tokens"`
	MemoryTokens int `json:"Room"`
	// Limit is the number of requests that this daemon may have on the runner now; it is low during slow start.
	Limit     int  `json:"Limit"`
	SlowStart bool `json:"Warming"`
	// Usable is false while the runner is draining, not listed or ejected; Reason says why.
	Usable bool   `json:"Usable"`
	Reason string `json:"Reason"`
	// EjectedUntil is the end of the ejection, zero if the runner is not ejected.
	EjectedUntil time.Time `json:"Until"`
}

// view returns a snapshot of an entry's runner. It also completes a slow start whose duration has passed.
func (table *Table) view(now time.Time, entry *entry, daemons []string) Runner {
	listing, estimate := entry.listing, &entry.estimate
	runner := Runner{
		ID:            listing.RunnerId,
		Address:       listing.Address,
		Zone:          listing.Zone,
		Service:       listing.Service,
		State:         listing.State,
		Slots:         entry.slots(),
		InFlight:      entry.requests.total,
		Usable:        true,
		Reported:      estimate.reported,
		OthersWaiting: estimate.othersWaiting,
		UsedTokens:    estimate.report.UsedTokens,
		MemoryTokens:  estimate.report.MemoryTokens,
	}
	runner.Load, runner.LatestLoad = estimate.load(now, runner.InFlight, runner.Slots)
	runner.Limit = runner.Slots + max(1, runner.Slots/2)
	runner.SlowStart, runner.Limit = table.slowStartLimit(now, entry, runner.Limit, daemons)
	switch {
	case !entry.listed || !acceptsRequests(listing.State):
		runner.Usable, runner.Reason = false, ReasonDraining
	case entry.ejection.active(now):
		runner.Usable, runner.Reason, runner.EjectedUntil = false, entry.ejection.reason, entry.ejection.until
	}
	return runner
}

// slots returns the number of slots from the newest report, else from the runner list, else initialSlots.
func (entry *entry) slots() int {
	switch {
	case entry.estimate.report.Slots > 0:
		return entry.estimate.report.Slots
	case entry.listing.Slots > 0:
		return int(entry.listing.Slots)
	default:
		return initialSlots
	}
}
