package lease

import (
	"testing"
	"time"
)

const duration = time.Second

func TestWitnessConfirmsOnlyWhatItWasTold(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(duration)
	if witness.Confirm(now, "d", 5, 0) {
		t.Fatal("confirms before any head has told it anything")
	}
	witness.ObserveHead(5)
	if !witness.Confirm(now, "d", 5, 0) || witness.Confirm(now, "e", 4, 0) {
		t.Fatal("confirms less than it knows, or not what it knows")
	}
	if witness.Confirm(now, "f", 5, 6) {
		t.Fatal("confirms less than an earlier incarnation may have said that it knows")
	}
	witness.ObserveCommit(7)
	if witness.Confirm(now, "d", 6, 0) || !witness.Confirm(now, "d", 7, 0) {
		t.Fatal("confirms an older sequence")
	}
}

func TestOutstandingConfirmationsExpire(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(duration)
	witness.ObserveHead(5)
	witness.Confirm(now, "d", 5, 0)
	witness.Confirm(now.Add(duration/2), "e", 5, 0)
	witness.ObserveCommit(6)
	now = now.Add(duration / 2)
	for _, test := range []struct {
		sequence uint64
		want     time.Duration
	}{{5, 0}, {6, duration}} {
		if got := witness.Outstanding(now, test.sequence); got != test.want {
			t.Fatalf("outstanding below %d: %v", test.sequence, got)
		}
	}
	// The daemon that has the newer sequence relies on the older one no more; one that reports less again still may.
	witness.ObserveDaemon("e", 6)
	witness.ObserveDaemon("d", 4)
	if got := witness.Outstanding(now, 6); got != duration/2 {
		t.Fatalf("outstanding: %v", got)
	}
	if got := witness.Outstanding(now.Add(duration/2), 6); got != 0 {
		t.Fatalf("outstanding at the end: %v", got)
	}
}

// Found by verify/modelcheck: an acceptor confirmed what a daemon had, was killed and came back, and told the head
// that nobody relied on any of its confirmations.
func TestRestartedWitnessCountsForgottenConfirmations(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(duration)
	witness.AssumeForgottenConfirmations(now)
	witness.ObserveHead(5)
	if got := witness.Outstanding(now.Add(duration/4), 5); got != duration*3/4 {
		t.Fatalf("outstanding after a restart: %v", got)
	}
	if got := witness.Outstanding(now.Add(duration), 5); got != 0 {
		t.Fatalf("outstanding a lease after a restart: %v", got)
	}
}
