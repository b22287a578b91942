package registry

import (
	"testing"
	"time"

	"wardtray/wire"
)

// A process that has just started has an empty table, so it must also receive the records of runners that are gone.
// Otherwise it would accept an older record of such a runner, sent by a control node that was frozen when the runner
// left, and list the runner as live.
func TestStartingProcessLearnsWhoIsGone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	sender, starting := NewTable(), NewTable()
	sender.Merge(now, []*wire.Runner{
		{RunnerId: "left", State: "gone", Call: 9, Address: "r1"},
		{RunnerId: "there", State: "ready", Call: 3, Address: "r2"},
	})
	starting.Merge(now, sender.missingIn(now, starting.digest(true)))
	starting.Merge(now, []*wire.Runner{{RunnerId: "left", State: "ready", Call: 8, Address: "r1"}})
	for _, runner := range starting.Runners(now) {
		if runner.RunnerId == "left" {
			t.Fatal("a runner that is gone is listed as live")
		}
	}
	if starting.Checksum() != sender.Checksum() {
		t.Fatal("the checksums of the live records differ")
	}
	// A process that knows some records is not starting, and does not receive those of unknown runners that are gone.
	if missing := sender.missingIn(now, starting.digest(true)); len(missing) != 0 {
		t.Fatalf("records were sent although none is missing: %v", missing)
	}
}
