package load

import "time"

// ReasonDraining is the reason of a runner that is draining or no longer listed.
const ReasonDraining = "leaving"

// Runner is one runner as seen at a moment; it is a copy.
type Runner struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
	Service string `json:"Service"`
	// State is the platform's word: "ready", "cold" or "draining".
	State string `json:"State"`
	// Slots is how many requests the runner's engine processes at once.
	Slots int `json:"Slots"`
	// Load is how many requests the runner seems to have: ours, and those of other daemons by its smoothed reports.
	Load float64 `json:"Load"`
	// LatestLoad is the same by the last report alone, where that says that the runner is less than half full.
	LatestLoad float64 `json:"Sure"`
	// InFlight is the number of our own requests on it.
	InFlight int `json:"InFlight"`
	// Reported is when its newest report came, zero if none did; OthersWaiting is how many requests of other daemons
	// waited for their first event by that.
	Reported      time.Time `json:"Told"`
	OthersWaiting int       `json:"OthersWaiting"`
	// UsedTokens and MemoryTokens are its memory as last reported; MemoryTokens 0: not reported.
	UsedTokens   int `json:"Tokens"`
	MemoryTokens int `json:"Room"`
	// Limit is how many requests of ours it may have now; it is low during slow start.
	Limit     int  `json:"Limit"`
	SlowStart bool `json:"Warming"`
	// Usable is false while the runner is draining, not listed or ejected; Reason says why.
	Usable bool   `json:"Usable"`
	Reason string `json:"Reason"`
	// Until is the end of the ejection, zero if there is none.
	Until time.Time `json:"Until"`
}

// view returns the runner of an entry as it seems now. It ends a slow start whose time is over.
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
		runner.Usable, runner.Reason, runner.Until = false, entry.ejection.reason, entry.ejection.until
	}
	return runner
}

// slots returns the runner's slots: as reported, else as listed, else initialSlots.
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
