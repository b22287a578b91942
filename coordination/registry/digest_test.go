package registry

import (
	"testing"
	"time"

	"wardtray/wire"
)

// A process that starts is told of the runners that are gone as well. Found by the simulator: a daemon that knew
// nothing of one was told of it as live by a core that had been frozen while it left.
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
			t.Fatal("uses a runner that is gone, sent by one that missed its end")
		}
	}
	if starting.Checksum() != sender.Checksum() {
		t.Fatal("the checksums of the live records differ")
	}
	// A process that knows some records has run before and is not sent the gone ones.
	if missing := sender.missingIn(now, starting.digest(true)); len(missing) != 0 {
		t.Fatalf("sent again: %v", missing)
	}
}
