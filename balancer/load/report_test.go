package load

import (
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/wire"
)

// staleIDs returns the IDs of the runners whose newest report is older than a second.
func staleIDs(table *Table, now time.Time, reportsOnly bool) string {
	stale := table.RunnersToPoll(now, time.Second, reportsOnly)
	ids := make([]string, 0, len(stale))
	for _, runner := range stale {
		ids = append(ids, runner.ID)
	}
	return strings.Join(ids, " ")
}

// A runner that is no longer listed is still asked while it has requests of ours; else its failure would never be
// noticed.
func TestUnlistedRunnerWithRequestsIsStillPolled(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(now, "d")
	table.UpdateListing(now, []*wire.Runner{{RunnerId: "busy", State: "ready"}, {RunnerId: "idle", State: "ready"}})
	table.RequestStarted("busy")
	if removed := table.UpdateListing(now, nil); len(removed) != 1 || removed[0] != "idle" {
		t.Fatal(removed)
	}
	later := now.Add(time.Minute)
	if stale := table.RunnersToPoll(later, time.Second, true); len(stale) != 1 || stale[0].ID != "busy" {
		t.Fatalf("polled: %v, want only the busy runner", stale)
	}
	if !table.ReportFailed(later, "busy", apierror.Unreachable) {
		t.Fatal("it does not count as failed")
	}
	table.RequestEnded("busy", true)
	if stale := table.RunnersToPoll(later, time.Second, true); len(stale) != 0 {
		t.Fatal(stale)
	}
}

// A refused report request shows that the runner is up. Where a service's runners refuse, they are not asked again for
// a while, and those of another service are; one answer undoes that.
func TestServicesWithoutReportsAreNotPolled(t *testing.T) {
	table := NewTable(started, "d1")
	table.UpdateListing(started, []*wire.Runner{
		{RunnerId: "a1", Zone: "a", State: "ready", Service: "a"},
		{RunnerId: "a2", Zone: "a", State: "ready", Service: "a"},
		{RunnerId: "b1", Zone: "a", State: "ready", Service: "b"},
	})
	asked := func(now time.Time) string { return staleIDs(table, now, true) }
	for range maxFailedReports + 1 {
		table.ReportRefused(started, "a1")
	}
	if found, _ := table.Lookup(started, "a1", nil); !found.Usable {
		t.Errorf("a runner that refuses a report request is ejected: %+v", found)
	}
	if names := asked(started.Add(2 * time.Second)); names != "b1" {
		t.Errorf("asked: %s", names)
	}
	if names := asked(started.Add(refusedRetryInterval + time.Second)); names != "a1 a2 b1" {
		t.Errorf("asked after a while: %s", names)
	}
	table.RecordPolledReport(started, "a2", Report{Slots: 4})
	if names := asked(started.Add(3 * time.Second)); names != "a1 a2 b1" {
		t.Errorf("asked after an answer: %s", names)
	}
}

// Where a service's responses tell the load, or this daemon does not use it, its runners are not asked.
func TestOnlyRunnersWhoseResponsesTellNoLoadArePolled(t *testing.T) {
	table := NewTable(started, "d1")
	table.UpdateListing(started, []*wire.Runner{
		{RunnerId: "a", State: "ready", Service: "a"},
		{RunnerId: "b", State: "ready", Service: "b"},
		{RunnerId: "c", State: "ready", Service: "c"},
	})
	asked := func(reportsOnly bool) string { return staleIDs(table, started.Add(time.Minute), reportsOnly) }
	if names := asked(false); names != "" {
		t.Errorf("without any request asked: %s", names)
	}
	table.RequestStarted("a")
	table.RequestStarted("b")
	if names := asked(false); names != "a b" {
		t.Errorf("before a response asked: %s", names)
	}
	table.RecordResponseReport(started, "a", Report{Slots: 4})
	if names := asked(false); names != "b" {
		t.Errorf("once a response told the load asked: %s", names)
	}
	if names := asked(true); names != "a b c" {
		t.Errorf("where only reports tell a load asked: %s", names)
	}
}

// Only runners whose newest report is old are asked, whether that was an answer or a response's head.
func TestStaleRunners(t *testing.T) {
	table := tableOf("r1", "r2", "r3")
	table.RecordReport(started, "r1", Report{Slots: 8})
	table.RecordReport(started.Add(time.Second), "r2", Report{Slots: 8, MemoryTokens: 1000})
	stale := table.RunnersToPoll(started.Add(1500*time.Millisecond), time.Second, true)
	if len(stale) != 2 || stale[0].ID != "r1" || stale[1].ID != "r3" {
		t.Fatalf("stale: %v", stale)
	}
}

// The requests that wait at a runner are others' except our own; the head of a response no longer counts the request
// that is being answered, and keeps what an earlier report said of memory.
func TestOthersWaiting(t *testing.T) {
	table := tableOf("r")
	table.RequestStarted("r")
	table.RequestStarted("r")
	look := func() Runner {
		found, _ := table.Lookup(started, "r", nil)
		return found
	}
	table.RecordReport(started, "r", Report{Running: 1, Waiting: 5, Slots: 8, UsedTokens: 300, MemoryTokens: 1000})
	if found := look(); found.OthersWaiting != 3 || found.MemoryTokens != 1000 {
		t.Fatalf("by a report: %+v", found)
	}
	table.RecordReport(started, "r", Report{Running: 1, Waiting: 5, Slots: 8})
	if found := look(); found.OthersWaiting != 4 || found.UsedTokens != 300 || found.MemoryTokens != 1000 {
		t.Fatalf("by a head: %+v", found)
	}
	table.FirstEventReceived("r")
	table.RequestEnded("r", true)
	table.RequestEnded("r", false)
	table.RecordReport(started, "r", Report{Running: 1, Waiting: 5, Slots: 8})
	if found := look(); found.OthersWaiting != 5 || found.InFlight != 0 {
		t.Fatalf("after our own: %+v", found)
	}
}
