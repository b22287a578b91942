package load

import (
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/wire"
)

// staleIDs returns the IDs of the runners to poll because their newest report is at least a second old.
func staleIDs(table *Table, now time.Time, reportsOnly bool) string {
	stale := table.RunnersToPoll(now, time.Second, reportsOnly)
	ids := make([]string, 0, len(stale))
	for _, runner := range stale {
		ids = append(ids, runner.ID)
	}
	return strings.Join(ids, " ")
}

// A runner that is no longer listed is still polled while it has requests of this daemon. Otherwise its failure would
// not be detected and the requests would hang.
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
		t.Fatal("an unlisted runner whose report failed is not treated as failed")
	}
	table.RequestEnded("busy", true)
	if stale := table.RunnersToPoll(later, time.Second, true); len(stale) != 0 {
		t.Fatal(stale)
	}
}

// A refused report request shows that the runner is up, so it causes no ejection. The runners of a service that refuses
// report requests are not polled for refusedRetryInterval, or until one of them sends a report. Other services are
// still polled.
func TestServicesWithoutReportsAreNotPolled(t *testing.T) {
	table := NewTable(started, "d1")
	table.UpdateListing(started, []*wire.Runner{
		{RunnerId: "a1", Zone: "a", State: "ready", Service: "a"},
		{RunnerId: "a2", Zone: "a", State: "ready", Service: "a"},
		{RunnerId: "b1", Zone: "a", State: "ready", Service: "b"},
	})
	polled := func(now time.Time) string { return staleIDs(table, now, true) }
	for range maxFailedReports + 1 {
		table.ReportRefused(started, "a1")
	}
	if found, _ := table.Lookup(started, "a1", nil); !found.Usable {
		t.Errorf("a runner that refuses a report request is ejected: %+v", found)
	}
	if ids := polled(started.Add(2 * time.Second)); ids != "b1" {
		t.Errorf("polled after the refusals: %s", ids)
	}
	if ids := polled(started.Add(refusedRetryInterval + time.Second)); ids != "a1 a2 b1" {
		t.Errorf("polled after refusedRetryInterval: %s", ids)
	}
	table.RecordPolledReport(started, "a2", Report{Slots: 4})
	if ids := polled(started.Add(3 * time.Second)); ids != "a1 a2 b1" {
		t.Errorf("polled after a report: %s", ids)
	}
}

// Runners are not polled if the responses of their service report the load or this daemon does not use the service,
// unless polled reports are the only source of load information.
func TestOnlyRunnersWhoseResponsesTellNoLoadArePolled(t *testing.T) {
	table := NewTable(started, "d1")
	table.UpdateListing(started, []*wire.Runner{
		{RunnerId: "a", State: "ready", Service: "a"},
		{RunnerId: "b", State: "ready", Service: "b"},
		{RunnerId: "c", State: "ready", Service: "c"},
	})
	polled := func(reportsOnly bool) string { return staleIDs(table, started.Add(time.Minute), reportsOnly) }
	if ids := polled(false); ids != "" {
		t.Errorf("polled before any request: %s", ids)
	}
	table.RequestStarted("a")
	table.RequestStarted("b")
	if ids := polled(false); ids != "a b" {
		t.Errorf("polled before any response: %s", ids)
	}
	table.RecordResponseReport(started, "a", Report{Slots: 4})
	if ids := polled(false); ids != "b" {
		t.Errorf("polled after a response of a reported the load: %s", ids)
	}
	if ids := polled(true); ids != "a b c" {
		t.Errorf("polled with reportsOnly: %s", ids)
	}
}

// Only runners whose newest report is at least maxAge old are polled; any report counts, with memory values or without.
func TestStaleRunners(t *testing.T) {
	table := tableOf("r1", "r2", "r3")
	table.RecordReport(started, "r1", Report{Slots: 8})
	table.RecordReport(started.Add(time.Second), "r2", Report{Slots: 8, MemoryTokens: 1000})
	stale := table.RunnersToPoll(started.Add(1500*time.Millisecond), time.Second, true)
	if len(stale) != 2 || stale[0].ID != "r1" || stale[1].ID != "r3" {
		t.Fatalf("stale: %v", stale)
	}
}

// The waiting requests of other daemons are those reported minus this daemon's own. A report in response headers no
// longer counts the request that is being answered, and does not erase the memory values of an earlier report.
func TestOthersWaiting(t *testing.T) {
	table := tableOf("r")
	table.RequestStarted("r")
	table.RequestStarted("r")
	lookup := func() Runner {
		found, _ := table.Lookup(started, "r", nil)
		return found
	}
	table.RecordReport(started, "r", Report{Running: 1, Waiting: 5, Slots: 8, UsedTokens: 300, MemoryTokens: 1000})
	if found := lookup(); found.OthersWaiting != 3 || found.MemoryTokens != 1000 {
		t.Fatalf("after a polled report: %+v", found)
	}
	table.RecordReport(started, "r", Report{Running: 1, Waiting: 5, Slots: 8})
	if found := lookup(); found.OthersWaiting != 4 || found.UsedTokens != 300 || found.MemoryTokens != 1000 {
		t.Fatalf("after a report in response headers: %+v", found)
	}
	table.FirstEventReceived("r")
	table.RequestEnded("r", true)
	table.RequestEnded("r", false)
	table.RecordReport(started, "r", Report{Running: 1, Waiting: 5, Slots: 8})
	if found := lookup(); found.OthersWaiting != 5 || found.InFlight != 0 {
		t.Fatalf("after this daemon's requests ended: %+v", found)
	}
}
