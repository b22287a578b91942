package load

import (
	"time"

	"wardtray/features"
)

// A runner that fails is ejected for minEjection first, then for twice as long after each further failure, up to
// maxEjection; a success ends that.
const (
	minEjection = 300 * time.Millisecond
	maxEjection = 5 * time.Second
)

// ejection keeps a runner that failed out of use for a while (outlier detection).
type ejection struct {
	// duration is that of the last ejection, 0 after a success.
	duration time.Duration
	until    time.Time
	reason   string
}

// failed begins an ejection, longer than the one before.
func (ejection *ejection) failed(now time.Time, reason string) {
	ejection.duration = min(maxEjection, max(minEjection, 2*ejection.duration))
	ejection.until, ejection.reason = now.Add(ejection.duration), reason
}

// succeeded ends the ejection; the next one is short again.
func (ejection *ejection) succeeded() {
	ejection.duration, ejection.until = 0, time.Time{}
}

func (ejection *ejection) active(now time.Time) bool {
	return now.Before(ejection.until)
}

// Eject ejects a runner for a while, longer after each failure until a success.
func (table *Table) Eject(now time.Time, runner, reason string) {
	table.update(runner, func(entry *entry) { table.eject(now, entry, reason) })
}

// RequestSucceeded ends a runner's ejection: the first event of a response without an error has arrived.
func (table *Table) RequestSucceeded(runner string) {
	table.update(runner, func(entry *entry) { entry.ejection.succeeded() })
}

func (table *Table) eject(now time.Time, entry *entry, reason string) {
	if !table.Without[features.Ejection] {
		entry.ejection.failed(now, reason)
	}
}
