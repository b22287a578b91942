package lease

import (
	"testing"
	"time"
)

const length = time.Second

func TestAWitnessConfirmsOnlyWhatItWasTold(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(length)
	if witness.Confirm(now, "d", 5, 0) {
		t.Fatal("confirms before any head has told it anything")
	}
	witness.Told(5)
	if !witness.Confirm(now, "d", 5, 0) || witness.Confirm(now, "e", 4, 0) {
		t.Fatal("confirms less than it knows, or not what it knows")
	}
	if witness.Confirm(now, "f", 5, 6) {
		t.Fatal("confirms less than an earlier life of it may have said that it knows")
	}
	witness.Knows(7)
	if witness.Confirm(now, "d", 6, 0) || !witness.Confirm(now, "d", 7, 0) {
		t.Fatal("confirms an older sequence")
	}
}

func TestOutstandingConfirmationsEnd(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(length)
	witness.Told(5)
	witness.Confirm(now, "d", 5, 0)
	witness.Confirm(now.Add(length/2), "e", 5, 0)
	witness.Knows(6)
	now = now.Add(length / 2)
	for _, test := range []struct {
		sequence uint64
		want     time.Duration
	}{{5, 0}, {6, length}} {
		if got := witness.Outstanding(now, test.sequence); got != test.want {
			t.Fatalf("outstanding below %d: %v", test.sequence, got)
		}
	}
	// The daemon that has the newer one goes by the older no more; one that says less again still may.
	witness.Heard("e", 6)
	witness.Heard("d", 4)
	if got := witness.Outstanding(now, 6); got != length/2 {
		t.Fatalf("outstanding: %v", got)
	}
	if got := witness.Outstanding(now.Add(length/2), 6); got != 0 {
		t.Fatalf("outstanding at the end: %v", got)
	}
}

// A later word about a newer sequence must not put off what was clear for an older one before.
func TestALedgerKeepsTheSoonestWord(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ledger := NewProgressTracker()
	if ledger.Clear(now, "k", 0) {
		t.Fatal("clear without a word")
	}
	ledger.Note("k", 5, now)
	ledger.Note("k", 6, now.Add(length))
	if !ledger.Clear(now, "k", 5) || ledger.Clear(now, "k", 6) || !ledger.Clear(now.Add(length), "k", 6) || ledger.Clear(now.Add(length), "k", 7) {
		t.Fatal("a word counts for more, or for less, than it says")
	}
	for number := range uint64(1000) {
		ledger.Note("k", 7+number, now.Add(time.Duration(number)))
	}
	if count := len(ledger.notices["k"]); count > maximumNotices {
		t.Fatalf("%d notices", count)
	}
	if !ledger.Clear(now.Add(time.Second), "k", 900) {
		t.Fatal("a late sequence is not clear")
	}
}

// Found by verify/modelcheck: a keeper confirmed what a daemon had, was killed and came back, and told the head that nobody
// relied on any word of its.
func TestARestartedWitnessCountsForgottenWords(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	witness := NewWitness(length)
	witness.Restarted(now)
	witness.Told(5)
	if got := witness.Outstanding(now.Add(length/4), 5); got != length*3/4 {
		t.Fatalf("outstanding after a restart: %v", got)
	}
	if got := witness.Outstanding(now.Add(length), 5); got != 0 {
		t.Fatalf("outstanding a lease after a restart: %v", got)
	}
}
