package node

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/coordination/lease"
	"wardtray/wire"
)

// requestLeaderLease delivers a head's request for the leader's lease to an acceptor, and returns the grant.
func requestLeaderLease(t *testing.T, node *Node, now time.Time, head *wire.Member) *wire.LeaderLeaseGrant {
	t.Helper()
	node.Receive(
		now,
		&wire.Envelope{
			From:   head.Address,
			Sender: head.Id,
			Body: &wire.Envelope_LeaderLeaseRequest{
				LeaderLeaseRequest: &wire.LeaderLeaseRequest{View: 3, Nonce: 1, Committed: 4},
			},
		},
	)
	messages, _ := node.Ready()
	for _, message := range messages {
		if grant := message.Envelope.GetLeaderLeaseGrant(); grant != nil {
			return grant
		}
	}
	t.Fatal("the acceptor sent no grant")
	return nil
}

// threeMembers returns the members of the initial chain of these tests, the head first.
func threeMembers() []*wire.Member {
	return []*wire.Member{
		{Id: "a", Address: "127.0.0.1:1", Zone: "a"},
		{Id: "b", Address: "127.0.0.2:1", Zone: "b"},
		{Id: "c", Address: "127.0.0.3:1", Zone: "c"},
	}
}

// restartedAcceptor starts the second of three members with a document with a directory on its disk, and returns it and
// the head.
func restartedAcceptor(now time.Time, directory []*wire.Member) (*Node, *wire.Member) {
	members := threeMembers()
	state := &wire.DurableState{
		Id:          "b",
		ClearedTerm: 3,
		View:        &wire.View{Epoch: 3, HeadTerm: 3, Fleet: "f", MinReplicas: 1, Chain: members, Acceptors: members},
		Document:    &wire.Document{Sequence: 4, SpecEpoch: 4, Directory: directory},
	}
	settings := Settings{Address: members[1].Address, Zone: "b"}
	return New(now, settings, state, nil, rand.New(rand.NewSource(1))), members[0]
}

// Guards against a change that is acknowledged while a daemon still serves with an older document. A restarted acceptor
// has lost its record of the daemons that rely on its confirmations; verify/modelcheck found that it reported none to
// the head. It must report the full duration of a lease, counted from its start.
func TestARestartedAcceptorCountsItsForgottenWords(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	node, head := restartedAcceptor(now, nil)
	const length = lease.DaemonTTL + daemonlease.ClockMargin
	for _, test := range []struct{ since, want time.Duration }{
		{0, length}, {lease.DaemonTTL / 2, length - lease.DaemonTTL/2}, {length, 0},
	} {
		grant := requestLeaderLease(t, node, now.Add(test.since), head)
		if got := time.Duration(grant.ConfirmedMilliseconds) * time.Millisecond; grant.KnownSequence != 4 ||
			got != test.want {
			t.Fatalf("%v after the start: known %d, relied on for %v, want %v", test.since, grant.KnownSequence, got, test.want)
		}
	}
}

// Guards against confirmations that the head does not account for: an acceptor must confirm only daemons of its
// directory, and no document older than the sequence that it has reported to the head.
func TestAnAcceptorConfirmsItsDirectoryAlone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	node, head := restartedAcceptor(now, []*wire.Member{{Id: "d", Address: "d", Zone: "a"}})
	confirmed := func(daemon string, sequence uint64) bool {
		request := &wire.DaemonLeaseRequest{Nonce: 1, Sequence: sequence, View: 3}
		node.Receive(now, &wire.Envelope{From: daemon, Sender: daemon,
			Body: &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: request}})
		messages, _ := node.Ready()
		for _, message := range messages {
			if grant := message.Envelope.GetDaemonLeaseGrant(); grant != nil && message.To == daemon {
				return grant.Confirmed
			}
		}
		return false
	}
	if confirmed("d", 4) {
		t.Fatal("confirms before it has received a head's request")
	}
	requestLeaderLease(t, node, now, head)
	for _, test := range []struct {
		daemon   string
		sequence uint64
		want     bool
	}{{"d", 4, true}, {"d", 3, false}, {"stranger", 4, false}} {
		if got := confirmed(test.daemon, test.sequence); got != test.want {
			t.Fatalf("daemon %s with sequence %d: confirmed %v", test.daemon, test.sequence, got)
		}
	}
}
