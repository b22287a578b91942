package load

import (
	"time"

	"wardtray/features"
)

// The first ejection of a runner lasts minEjection. Each further failure doubles the duration, up to maxEjection, until
// a success resets it.
const (
	minEjection = 300 * time.Millisecond
	maxEjection = 5 * time.Second
)

// ejection is the outlier detection state of one runner: after a failure the runner gets no new requests for some time.
type ejection struct {
	// duration is the length of the last ejection, 0 after a success.
	duration time.Duration
	// until is the end of the last ejection, zero after a success.
	until  time.Time
	reason string
}

// failed starts an ejection that lasts twice as long as the previous one, within the bounds.
func (ejection *ejection) failed(now time.Time, reason string) {
	ejection.duration = min(maxEjection, max(minEjection, 2*ejection.duration))
	ejection.until, ejection.reason = now.Add(ejection.duration), reason
}

// succeeded ends the ejection and resets the duration of the next one to minEjection.
func (ejection *ejection) succeeded() {
	ejection.duration, ejection.until = 0, time.Time{}
}

func (ejection *ejection) active(now time.Time) bool {
	return now.Before(ejection.until)
}

// Eject ejects a runner after a failure. Consecutive ejections double in duration until a request succeeds.
func (table *Table) Eject(now time.Time, runner, reason string) {
	table.update(runner, func(entry *entry) { table.eject(now, entry, reason) })
}

// RequestSucceeded ends a runner's ejection. It is called when the first event of a response without an error arrives.
func (table *Table) RequestSucceeded(runner string) {
	table.update(runner, func(entry *entry) { entry.ejection.succeeded() })
}

func (table *Table) eject(now time.Time, entry *entry, reason string) {
	if !table.Disabled[features.Ejection] {
		entry.ejection.failed(now, reason)
	}
}
