package durability

import (
	"testing"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

const writeTimeout = 700 * time.Millisecond

func newDisk(records ...*wire.Record) (*Disk, *statemachine.Outbox) {
	outbox := statemachine.NewOutbox()
	return New(outbox, records, writeTimeout, func() *wire.DurableState { return &wire.DurableState{Id: "a"} }), outbox
}

// requests drains the outbox, and returns the numbers of snapshots and scrubs and the sequence of the last write.
func requests(outbox *statemachine.Outbox) (snapshots, scrubs int, last uint64) {
	_, writes := outbox.Drain()
	for _, write := range writes {
		last = write.Sequence
		if write.Snapshot != nil {
			snapshots++
		}
		if write.Scrub {
			scrubs++
		}
	}
	return snapshots, scrubs, last
}

func entryRecord(bytes int) *wire.Record {
	return &wire.Record{Body: &wire.Record_Entry{Entry: &wire.Entry{Spec: make([]byte, bytes)}}}
}

func TestDiskTickRetriesAFailedWrite(t *testing.T) {
	t.Parallel()
	disk, outbox := newDisk()
	disk.Tick(start)
	disk.Failed(start)
	// A second failure does not postpone the snapshot.
	disk.Failed(start.Add(retryDelay / 2))
	disk.Tick(start.Add(retryDelay - 1))
	if snapshots, _, _ := requests(outbox); snapshots != 0 || !disk.IsUnhealthy(start) {
		t.Fatalf("%d snapshots before the retry delay is over, unhealthy %v", snapshots, disk.IsUnhealthy(start))
	}
	disk.Tick(start.Add(retryDelay))
	disk.Tick(start.Add(retryDelay))
	snapshots, _, last := requests(outbox)
	if snapshots != 1 || !disk.IsUnhealthy(start.Add(retryDelay)) {
		t.Fatalf("%d snapshots after the retry delay", snapshots)
	}
	outbox.Done(start.Add(retryDelay), last)
	if disk.IsUnhealthy(start.Add(retryDelay)) || disk.Counters().Failures != 2 {
		t.Fatalf("unhealthy after a completed snapshot, or a wrong count of failures: %d", disk.Counters().Failures)
	}
}

func TestDiskTickRetriesAFailedSnapshot(t *testing.T) {
	t.Parallel()
	disk, outbox := newDisk()
	disk.Failed(start)
	disk.Tick(start.Add(retryDelay))
	disk.Failed(start.Add(retryDelay))
	disk.Tick(start.Add(2*retryDelay - 1))
	if snapshots, _, _ := requests(outbox); snapshots != 1 {
		t.Fatalf("%d snapshots before the second attempt is due", snapshots)
	}
	disk.Tick(start.Add(2 * retryDelay))
	if snapshots, _, _ := requests(outbox); snapshots != 1 {
		t.Fatalf("%d snapshots when the second attempt is due", snapshots)
	}
}

func TestDiskTickReplacesALongLog(t *testing.T) {
	t.Parallel()
	disk, outbox := newDisk(entryRecord(logLimit / 2))
	disk.Tick(start)
	if snapshots, _, _ := requests(outbox); snapshots != 0 {
		t.Fatal("a log of half the limit was replaced by a snapshot")
	}
	disk.Appended([]statemachine.Write{{Record: entryRecord(logLimit / 2)}})
	disk.Tick(start)
	snapshots, _, last := requests(outbox)
	outbox.Done(start, last)
	disk.Tick(start)
	if again, _, _ := requests(outbox); snapshots != 1 || again != 0 {
		t.Fatalf("%d snapshots for a log over the limit, then %d more", snapshots, again)
	}
}

func TestDiskTickScrubs(t *testing.T) {
	t.Parallel()
	disk, outbox := newDisk()
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {scrubInterval - 1, 0}, {scrubInterval, 1}, {2*scrubInterval - 1, 0}, {2 * scrubInterval, 1}} {
		disk.Tick(start.Add(test.after))
		if _, scrubs, _ := requests(outbox); scrubs != test.want {
			t.Errorf("after %v: %d scrubs", test.after, scrubs)
		}
	}
}

func TestDiskIsUnhealthy(t *testing.T) {
	t.Parallel()
	disk, outbox := newDisk()
	outbox.Persist(start, entryRecord(1), func(time.Time) {})
	if disk.IsUnhealthy(start.Add(writeTimeout)) || !disk.IsUnhealthy(start.Add(writeTimeout+1)) {
		t.Error("a pending write is not reported as unhealthy exactly from the write timeout on")
	}
}
