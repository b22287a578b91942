package lease

import (
	"testing"
	"time"
)

const duration = time.Second

// A witness confirms a sequence only if it knows of no newer one, and only after a head has reported to this
// incarnation. A daemon would otherwise act on an outdated document.
func TestWitnessConfirmsOnlyWhatItWasTold(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(duration)
	if witness.Confirm(now, "d", 5, 0) {
		t.Fatal("confirms before any head has reported a committed sequence")
	}
	witness.ObserveHead(5)
	if !witness.Confirm(now, "d", 5, 0) || witness.Confirm(now, "e", 4, 0) {
		t.Fatal("want the committed sequence confirmed, and no older one")
	}
	if witness.Confirm(now, "f", 5, 6) {
		t.Fatal("confirms a sequence older than an earlier incarnation may have reported as committed")
	}
	witness.ObserveCommit(7)
	if witness.Confirm(now, "d", 6, 0) || !witness.Confirm(now, "d", 7, 0) {
		t.Fatal("after a newer commit: want the newer sequence confirmed, and no older one")
	}
}

// The time for which daemons may rely on older confirmations ends when the confirmations expire or their daemons have
// newer sequences. If it were too short, the head would consider daemons fenced that still act on older sequences.
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
			t.Fatalf("confirmations of sequences below %d are outstanding for %v", test.sequence, got)
		}
	}
	// A daemon that has the newer sequence no longer relies on the older one; one that reports an older sequence still
	// may.
	witness.ObserveDaemon("e", 6)
	witness.ObserveDaemon("d", 4)
	if got := witness.Outstanding(now, 6); got != duration/2 {
		t.Fatalf("outstanding after the reports of daemons: %v, want %v", got, duration/2)
	}
	if got := witness.Outstanding(now.Add(duration/2), 6); got != 0 {
		t.Fatalf("outstanding after the expiry: %v, want 0", got)
	}
}

// Found by verify/modelcheck: an acceptor issued a confirmation to a daemon, was killed, restarted, and reported to the
// head that no daemon relied on any of its confirmations.
func TestRestartedWitnessCountsForgottenConfirmations(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(duration)
	witness.AssumeUnrecordedConfirmations(now)
	witness.ObserveHead(5)
	if got := witness.Outstanding(now.Add(duration/4), 5); got != duration*3/4 {
		t.Fatalf("%v after a restart: confirmations are outstanding for %v", duration/4, got)
	}
	if got := witness.Outstanding(now.Add(duration), 5); got != 0 {
		t.Fatalf("%v after a restart: confirmations are outstanding for %v, want 0", duration, got)
	}
}
