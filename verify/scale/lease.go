package scale

import "time"

// watchedDaemons is how many daemons of a worker note for how long they had no lease; more would cost the
// machine what it needs for the daemons themselves.
const watchedDaemons = 64

// Interval is a stretch of the machine's steady time, which all its processes share.
type Interval struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// within gives the part of an interval that lies in another.
func (interval Interval) within(bounds Interval) time.Duration {
	return max(0, min(interval.To, bounds.To)-max(interval.From, bounds.From))
}

// LeaseHistory is what one watched daemon tells of its lease.
type LeaseHistory struct {
	// Gaps are the stretches without a lease; Open tells that the last one lasts.
	Gaps []Interval `json:"gaps,omitempty"`
	Open bool       `json:"open,omitempty"`
}

// leaseWatch notes when a daemon has no lease. It looks at each tick, so that a gap between two is not seen
// and the end of a gap is told up to a tick too late.
type leaseWatch struct {
	lapsed bool
	// until is the end of the present lease, or the moment from which on there is none.
	until time.Duration
	gaps  []Interval
}

// newLeaseWatch begins to watch a daemon that has no lease.
func newLeaseWatch(at time.Duration) leaseWatch {
	return leaseWatch{lapsed: true, until: at}
}

// note takes in for how long the lease goes on from a moment; 0 or less tells that there is none.
func (watch *leaseWatch) note(remaining, at time.Duration) {
	if remaining > 0 {
		if watch.lapsed && at > watch.until {
			watch.gaps = append(watch.gaps, Interval{From: watch.until, To: at})
		}
		watch.lapsed, watch.until = false, at+remaining
		return
	}
	if !watch.lapsed {
		// The moment told at the last look may have been taken back since.
		watch.lapsed, watch.until = true, min(watch.until, at)
	}
}

// history gives what was noted up to a moment.
func (watch *leaseWatch) history(at time.Duration) LeaseHistory {
	history := LeaseHistory{Gaps: append([]Interval{}, watch.gaps...), Open: watch.lapsed}
	if watch.lapsed {
		history.Gaps = append(history.Gaps, Interval{From: watch.until, To: at})
	}
	return history
}
