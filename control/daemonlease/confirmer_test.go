package daemonlease

import (
	"testing"
	"time"

	"wardtray/coordination/lease"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// An acceptor confirms only in the current view, only to members of the directory that have everything it knows, and
// not once it has voted for the next view. Otherwise a daemon could serve an old document after a newer one is
// acknowledged.
func TestConfirmerConfirm(t *testing.T) {
	t.Parallel()
	voted := &wire.AcceptorState{Instance: 4, Value: &wire.View{Epoch: 4}}
	for name, test := range map[string]struct {
		self string
		// hasHeard states that the head has reported its committed sequence.
		hasHeard bool
		isMember bool
		view     uint64
		sequence uint64
		vote     *wire.AcceptorState
		want     bool
	}{
		"up to date":                                  {"b", true, true, 3, 5, nil, true},
		"the head was not heard":                      {"b", false, true, 3, 5, nil, false},
		"not in the directory":                        {"b", true, false, 3, 5, nil, false},
		"of another view":                             {"b", true, true, 2, 5, nil, false},
		"an older document than the newest known one": {"b", true, true, 3, 4, nil, false},
		"no acceptor":                                 {"d", true, true, 3, 5, nil, false},
		"voted for the next view":                     {"b", true, true, 3, 5, voted, false},
	} {
		leases, outbox := newLeases("e")
		agent := view.NewAgent(start, test.self, threeMembers(), test.vote, outbox, func(string) string { return "" },
			func(time.Time, *wire.View) {})
		witness := lease.NewWitness(leaseLength)
		if test.hasHeard {
			witness.ObserveHead(5)
		}
		confirmer := NewConfirmer(test.self, agent, leases.chain, witness)
		request := &wire.DaemonLeaseRequest{View: test.view, Sequence: test.sequence}
		if got := confirmer.Confirm(start, "e", request, test.isMember); got != test.want {
			t.Errorf("%s: Confirm returned %v", name, got)
		}
	}
}
