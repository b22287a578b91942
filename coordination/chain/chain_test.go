package chain

import (
	"testing"
	"time"
)

// No member commits an entry before every member of the chain has synced it, in the order of the chain. Otherwise a
// committed entry could be lost with the few disks that hold it.
func TestNoCommitBeforeEverySync(t *testing.T) {
	cluster := newCluster("a", "b", "c")
	cluster.deliver()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b", "c"} {
		cluster.deliver()
		for member, sequence := range cluster.commits {
			if sequence > 0 {
				t.Fatalf("%s committed before %s had synced", member, name)
			}
		}
		cluster.sync(name)
	}
	cluster.deliver()
	for _, name := range []string{"a", "b", "c"} {
		if cluster.commits[name] != 1 {
			t.Errorf("%s did not commit the change after every member had synced it", name)
		}
	}
}

// No member forwards or acknowledges an entry before its own disk has synced it. Otherwise the member could crash and
// lack an entry that its successor holds or that its predecessor counts as replicated.
func TestMembersAnnounceOnlyWhatTheySynced(t *testing.T) {
	cluster := newCluster("a", "b")
	cluster.deliver()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	cluster.gather()
	for _, message := range cluster.messages {
		if message.envelope.GetChainForward().GetEntry() != nil {
			t.Fatalf("%s forwards an entry that it has not synced", message.from)
		}
	}
	cluster.sync("a")
	cluster.deliver()
	if synced := cluster.chains["a"].successorProgress.synced; synced != 0 {
		t.Fatalf("b acknowledges sequence %d, which it has not synced", synced)
	}
	cluster.sync("b")
	cluster.deliver()
	if synced := cluster.chains["a"].successorProgress.synced; synced != 1 {
		t.Errorf("b acknowledges sequence %d after it has synced sequence 1", synced)
	}
}

// A member that was removed from the chain holds a change that no other member has. It drops that change when it learns
// the committed document and rejoins; otherwise histories would differ under the same sequence.
func TestUncommittedChangeOfARejoiningMemberIsDropped(t *testing.T) {
	cluster := newCluster("a", "b", "c")
	cluster.deliver()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	cluster.sync("a")
	cluster.messages = nil
	cluster.adopt(2, "b", "c")
	cluster.deliver()
	if err := cluster.chains["b"].Submit(cluster.now, change(2)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		cluster.sync("b")
		cluster.deliver()
		cluster.sync("c")
		cluster.deliver()
	}
	if err := cluster.chains["a"].Submit(cluster.now, change(3)); err == nil {
		t.Fatal("a member outside the chain accepted a change")
	}
	cluster.chains["a"].RequestDocument("c")
	cluster.deliver()
	if cluster.chains["a"].LearnedView() == 2 {
		t.Fatal("the document counts as learned before it is synced")
	}
	cluster.sync("a")
	cluster.adopt(3, "b", "c", "a")
	for range 5 {
		cluster.now = cluster.now.Add(time.Second)
		for _, chain := range cluster.chains {
			chain.Tick(cluster.now)
		}
		cluster.deliver()
	}
	for name, chain := range cluster.chains {
		if got := chain.Latest(); got.SpecEpoch != 2 || len(got.Outcomes) != 1 || got.Outcomes[0].Operation != "o2" {
			t.Errorf("%s holds %v, want only the outcome of o2 at epoch 2", name, got)
		}
	}
}
