package controller

import (
	"testing"
	"time"

	"wardtray/coordination/lease"
)

// newTestLeases returns the leases of a daemon that has document 7 and view 3.
func newTestLeases() *leases {
	created := newLeases(lease.DaemonTTL, &configuration{sequence: 7})
	created.adoptView(viewOf(3))
	return created
}

// If n acceptors are a majority, the confirmed lease starts at the n-th latest request that acceptors confirmed: before
// that, no majority had confirmed.
func TestConfirmedUntilCountsFromTheMajority(t *testing.T) {
	current := newTestLeases()
	for index, acceptor := range acceptors {
		requested := started.Add(time.Duration(index) * time.Second)
		current.confirm(requested, acceptor.Id, confirmation{requested: requested, sequence: 7})
	}
	if until := current.confirmedUntil(); !until.Equal(started.Add(time.Second + lease.DaemonTTL)) {
		t.Errorf("confirmed until %v", until.Sub(started))
	}
	// The confirmation of an acceptor that has a newer document does not count for this daemon's document, and a
	// confirmation of an earlier request changes nothing.
	latest := started.Add(3 * time.Second)
	current.confirm(latest, acceptors[2].Id, confirmation{requested: latest, sequence: 8})
	current.confirm(latest, acceptors[1].Id, confirmation{requested: started, sequence: 7})
	if until := current.confirmedUntil(); !until.Equal(started.Add(lease.DaemonTTL)) {
		t.Errorf("confirmed until %v", until.Sub(started))
	}
}

// A majority of confirmations makes a daemon ready only if it has a configuration.
func TestConfirmMakesReady(t *testing.T) {
	for sequence, ready := range map[uint64]bool{0: false, 7: true} {
		current := newTestLeases()
		current.configuration.sequence = sequence
		for _, acceptor := range acceptors[:2] {
			current.confirm(started, acceptor.Id, confirmation{requested: started, sequence: sequence})
		}
		if current.ready != ready {
			t.Errorf("with document %d: ready is %v", sequence, current.ready)
		}
	}
}

// After a change of the view, the confirmations of the previous view's acceptors stay valid as a lease to their end,
// but do not count towards a majority of the new view's acceptors.
func TestAdoptViewKeepsTheLease(t *testing.T) {
	current := newTestLeases()
	for _, acceptor := range acceptors {
		current.confirm(started, acceptor.Id, confirmation{requested: started, sequence: 7})
	}
	if current.adoptView(viewOf(3)) || current.adoptView(nil) {
		t.Error("a view that is not newer was adopted")
	}
	if !current.adoptView(viewOf(4)) || !current.confirmedUntil().IsZero() {
		t.Error("the newer view was not adopted, or confirmations of the previous view were kept")
	}
	if until := current.until(); !until.Equal(started.Add(lease.DaemonTTL)) {
		t.Errorf("lease until %v", until.Sub(started))
	}
}

// A shorter lease granted by the head does not shorten an earlier one.
func TestGrantNeverShortens(t *testing.T) {
	current := newTestLeases()
	current.grant(started, lease.DaemonTTL)
	current.grant(started, time.Millisecond)
	if until := current.until(); !until.Equal(started.Add(lease.DaemonTTL)) {
		t.Errorf("lease until %v", until.Sub(started))
	}
	if !current.isHead("c0") || current.isHead("c1") || !current.isAcceptor("k1") || current.isAcceptor("c1") {
		t.Error("isHead or isAcceptor returns a wrong result for one of the members c0, c1 and k1")
	}
}
