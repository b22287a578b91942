// Package durability is what one control process knows of its disk: whether writes succeed in time, how long the log
// is, and when the state must be written anew or read back. It carries out no I/O: it puts requests into the outbox.
package durability

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// logLimit is the size in bytes at which a log is replaced by a snapshot of the whole state.
	logLimit = 4 << 20
	// scrubInterval is how often everything on the disk is read back.
	scrubInterval = 5 * time.Second
	// retryDelay is how long after a failed write the whole state is written anew.
	retryDelay = time.Second
)

// Counters are what a disk counts.
type Counters struct {
	// Failures counts writes that could not be carried out.
	Failures uint64
}

// Disk is the state of one process' disk. Snapshot requests are its way to recover from a failed write: until one
// completes, the disk is unhealthy.
type Disk struct {
	outbox *statemachine.Outbox
	// snapshot returns everything that must survive a restart.
	snapshot func() *wire.DurableState
	// writeTimeout is for how long a write may wait before the disk counts as unhealthy.
	writeTimeout time.Duration

	failed     bool
	replacing  bool
	retryAt    time.Time
	logBytes   int64
	lastScrub  time.Time
	diskCounts Counters
}

// New returns the state of a disk whose log holds some records already. A log that is kept over a restart counts in
// full: otherwise one that is restarted often would grow without a bound.
func New(outbox *statemachine.Outbox, records []*wire.Record, writeTimeout time.Duration,
	snapshot func() *wire.DurableState) *Disk {
	disk := &Disk{outbox: outbox, snapshot: snapshot, writeTimeout: writeTimeout}
	for _, record := range records {
		disk.logBytes += int64(proto.Size(record))
	}
	return disk
}

// Counters returns what was counted.
func (disk *Disk) Counters() Counters { return disk.diskCounts }

// IsUnhealthy reports whether a write failed or has waited for too long.
func (disk *Disk) IsUnhealthy(now time.Time) bool {
	return disk.failed || disk.outbox.OldestWait(now) > disk.writeTimeout
}

// Appended accounts for writes that the driver is about to carry out.
func (disk *Disk) Appended(writes []statemachine.Write) {
	for _, write := range writes {
		if write.Record != nil {
			disk.logBytes += int64(proto.Size(write.Record))
		}
	}
}

// Failed handles a write that could not be carried out. The disk is unhealthy until a snapshot has been written.
func (disk *Disk) Failed(now time.Time) {
	disk.diskCounts.Failures++
	// Every record that is pending meanwhile fails too; if each postponed the next attempt, there would never be one.
	if !disk.failed || disk.replacing {
		disk.retryAt = now.Add(retryDelay)
	}
	disk.failed, disk.replacing = true, false
}

// Replace requests a snapshot at once.
func (disk *Disk) Replace(now time.Time) {
	disk.replacing = true
	disk.outbox.PersistSnapshot(now, disk.snapshot(), func(time.Time) { disk.replacing, disk.failed = false, false })
}

// Tick requests a scrub when one is due, and a snapshot when the log is long or a failed disk must be tried again.
func (disk *Disk) Tick(now time.Time) {
	if disk.lastScrub.IsZero() {
		disk.lastScrub = now
	}
	// Damage is found while this process still knows what must be there, and not only when it starts.
	if now.Sub(disk.lastScrub) >= scrubInterval && !disk.failed && !disk.replacing {
		disk.lastScrub = now
		disk.outbox.Scrub(now)
	}
	if disk.replacing || disk.failed && now.Before(disk.retryAt) || !disk.failed && disk.logBytes < logLimit {
		return
	}
	disk.logBytes, disk.lastScrub = 0, now
	disk.Replace(now)
}
