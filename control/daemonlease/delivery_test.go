package daemonlease

import (
	"testing"
	"time"

	"wardtray/control/membership/membertest"
	"wardtray/wire"
)

// leaderAt returns the context of a process that has led for so long that every lease of the previous head has expired.
func leaderAt(now time.Time) DeliveryContext {
	return DeliveryContext{
		Now:       now,
		Since:     start.Add(-time.Hour),
		View:      threeMembers(),
		IsGrowing: func() bool { return false },
	}
}

// acceptorsKnow has acceptors report that they know sequence 5 and that no older confirmation is outstanding.
func acceptorsKnow(leases *Leases, ids ...string) {
	for _, id := range ids {
		leases.ObserveAcceptorProgress(id, 5, start)
	}
}

// A change must not be acknowledged while any daemon may still serve an older document: under a lease of this head, a
// lease of the previous head, or the confirmations of acceptors of this view or an earlier one.
func TestLeasesIsDelivered(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		directory string
		prepare   func(leases *Leases, leader *DeliveryContext)
		want      bool
	}{
		"a majority of the acceptors knows the commit": {"", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
		}, true},
		"one acceptor knows the commit": {"", func(leases *Leases, _ *DeliveryContext) { acceptorsKnow(leases, "a") }, false},
		"this process has not led": {"", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.Since = time.Time{}
		}, false},
		"the chain is too short": {"", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.View.Chain = membertest.Members("a")
		}, false},
		"an acceptor is still to be added": {"", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.IsGrowing = func() bool { return true }
		}, false},
		"a daemon with an older document holds a lease": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			grant(leases, start, 4)
		}, false},
		"the daemon with the older document has ended": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			grant(leases, start.Add(-2), 4)
			leases.ConnectionRefused("d", start.Add(-1))
		}, true},
		"the lease of the daemon with the older document has expired": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			grant(leases, start.Add(-leaseLength), 4)
		}, true},
		"the commit is older than the duration of a lease": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leases.ObserveCommit(start.Add(-leaseLength), 5)
			grant(leases, start, 4)
		}, true},
		"every daemon has the change": {"d", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leases.ObserveCommit(start, 5)
			leader.Since = start
			grant(leases, start, 5)
		}, true},
		"every daemon has the change, one acceptor knows the commit": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a")
			leases.ObserveCommit(start, 5)
			grant(leases, start, 5)
		}, false},
		"the previous head may have granted a lease": {"d", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.Since = start
		}, false},
		"an acceptor's confirmation of an older document has not expired": {"", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a")
			leases.ObserveAcceptorProgress("b", 5, start.Add(1))
		}, false},
		"acceptors of the previous view may have confirmed an older document": {"", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			next := threeMembers()
			next.Epoch, next.Acceptors = 4, membertest.Members("abd")
			leases.view = &wire.View{Epoch: 3, Acceptors: membertest.Members("ade")}
			leases.Adopt(start, next)
		}, false},
	} {
		leases, _ := newLeases(test.directory)
		leader := leaderAt(start)
		test.prepare(leases, &leader)
		if got := leases.IsDelivered(leader, 5); got != test.want {
			t.Errorf("%s: IsDelivered(5) returned %v", name, got)
		}
		if leases.IsDelivered(leader, 6) {
			t.Errorf("%s: sequence 6 counts as delivered but is not committed", name)
		}
	}
}

// The acceptors of an earlier view count for the length of a lease. If a view was skipped, its acceptors are unknown
// and their confirmations can only expire.
func TestLeasesAdopt(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("")
	same := threeMembers()
	same.Epoch = 4
	leases.Adopt(start, same)
	if len(leases.previous) != 0 {
		t.Error("unchanged acceptors were added to the previous ones")
	}
	skipped := threeMembers()
	skipped.Epoch = 6
	leases.Adopt(start, skipped)
	if len(leases.previous) != 1 || leases.previous[0].members != nil {
		t.Error("the acceptors of a skipped view must be recorded once, as unknown")
	}
	acceptorsKnow(leases, "a", "b", "c")
	if leases.IsDelivered(leaderAt(start.Add(leaseLength-1)), 5) ||
		!leases.IsDelivered(leaderAt(start.Add(leaseLength)), 5) {
		t.Error("confirmations of unknown acceptors must expire after exactly the length of a lease")
	}
}
