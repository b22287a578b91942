// Package durability tracks the disk of one control process: whether writes succeed in time, how long the log is, and
// when a snapshot of the state must be written or the disk must be scrubbed. It does no I/O itself: it puts requests
// into the outbox.
package durability

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// logLimit is the size in bytes at which the log is replaced by a snapshot of the complete state.
	logLimit = 4 << 20
	// scrubInterval is the time between two scrubs, each of which reads back everything on the disk.
	scrubInterval = 5 * time.Second
	// retryDelay is the time between a failed write and the snapshot that recovers from it.
	retryDelay = time.Second
)

// Counters holds the counters of a disk.
type Counters struct {
	// Failures counts failed writes.
	Failures uint64
}

// Disk tracks the state of one process' disk. It recovers from a failed write by requesting a snapshot; until one
// completes, the disk is unhealthy.
type Disk struct {
	outbox *statemachine.Outbox
	// snapshot returns the complete state that must survive a restart.
	snapshot func() *wire.DurableState
	// writeTimeout is the time that a write may take before the disk counts as unhealthy.
	writeTimeout time.Duration

	failed          bool
	snapshotPending bool
	retryAt         time.Time
	logBytes        int64
	lastScrub       time.Time
	counters        Counters
}

// New returns a Disk whose log already holds the given records. They count towards the log's size: otherwise the log
// of a process that restarts often would grow without a bound.
func New(outbox *statemachine.Outbox, records []*wire.Record, writeTimeout time.Duration,
	snapshot func() *wire.DurableState) *Disk {
	disk := &Disk{outbox: outbox, snapshot: snapshot, writeTimeout: writeTimeout}
	for _, record := range records {
		disk.logBytes += int64(proto.Size(record))
	}
	return disk
}

// Counters returns the present counters.
func (disk *Disk) Counters() Counters { return disk.counters }

// IsUnhealthy reports whether a write failed and no snapshot has completed since, or a write has exceeded the write
// timeout.
func (disk *Disk) IsUnhealthy(now time.Time) bool {
	return disk.failed || disk.outbox.OldestWait(now) > disk.writeTimeout
}

// Appended adds the sizes of records that the driver is about to write to the size of the log.
func (disk *Disk) Appended(writes []statemachine.Write) {
	for _, write := range writes {
		if write.Record != nil {
			disk.logBytes += int64(proto.Size(write.Record))
		}
	}
}

// Failed handles a failed write. The disk is unhealthy until a snapshot has been written.
func (disk *Disk) Failed(now time.Time) {
	disk.counters.Failures++
	// All records that are pending meanwhile fail too. If each of them postponed the snapshot, it would never be due.
	if !disk.failed || disk.snapshotPending {
		disk.retryAt = now.Add(retryDelay)
	}
	disk.failed, disk.snapshotPending = true, false
}

// RequestSnapshot requests a snapshot, which replaces the log, at once.
func (disk *Disk) RequestSnapshot(now time.Time) {
	disk.snapshotPending = true
	disk.outbox.PersistSnapshot(now, disk.snapshot(), func(time.Time) { disk.snapshotPending, disk.failed = false, false })
}

// Tick requests a scrub if one is due, and a snapshot if the log has reached its limit or the retry after a failed
// write is due.
func (disk *Disk) Tick(now time.Time) {
	if disk.lastScrub.IsZero() {
		disk.lastScrub = now
	}
	// A scrub finds damage while this process still holds the state in memory, and not only at its next start.
	if now.Sub(disk.lastScrub) >= scrubInterval && !disk.failed && !disk.snapshotPending {
		disk.lastScrub = now
		disk.outbox.Scrub(now)
	}
	if disk.snapshotPending || disk.failed && now.Before(disk.retryAt) || !disk.failed && disk.logBytes < logLimit {
		return
	}
	disk.logBytes, disk.lastScrub = 0, now
	disk.RequestSnapshot(now)
}
