package chain

import (
	"testing"
	"time"

	"wardtray/wire"
)

// minReplicas is the number of replicas that a change needs in the tests of chains too short to be writable.
const minReplicas = 2

// settle lets enough time pass for all messages to be delivered and all disks to sync.
func (cluster *cluster) settle() {
	for range 6 {
		cluster.now = cluster.now.Add(time.Second)
		for name, chain := range cluster.chains {
			chain.Tick(cluster.now)
			cluster.sync(name)
		}
		cluster.deliver()
	}
}

// storedChange returns a change whose sequence equals its number, as a disk holds it.
func storedChange(number int) *wire.Entry {
	entry := change(number)
	entry.Sequence = uint64(number)
	return entry
}

// A change that only the last remaining member has synced was never acknowledged. If that member committed it alone,
// the committed change would be lost with its disk, so it stays pending until the chain has two members again.
func TestShortChainKeepsWhatWasNotAcknowledgedPending(t *testing.T) {
	cluster := newEmptyCluster()
	for _, name := range []string{"a", "b", "c"} {
		cluster.add(name)
	}
	cluster.adoptWith(minReplicas, 1, "a", "b")
	cluster.deliver()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	cluster.sync("a")
	cluster.messages = nil
	delete(cluster.chains, "b")
	cluster.adoptWith(minReplicas, 2, "a")
	cluster.chains["c"].RequestDocument("a")
	cluster.settle()
	if got := cluster.commits["a"]; got != 0 {
		t.Fatalf("the only member committed up to %d alone", got)
	}
	if got := cluster.chains["a"].Watermark(); got != 0 {
		t.Errorf("the only member may act once it has committed up to %d, want 0", got)
	}
	if got := cluster.chains["c"].Latest().Sequence; got != 0 || cluster.chains["c"].LearnedView() != 2 {
		t.Fatalf("c learned up to %d in view %d, want 0 in view 2", got, cluster.chains["c"].LearnedView())
	}
	cluster.adoptWith(minReplicas, 3, "a", "c")
	cluster.settle()
	for _, name := range []string{"a", "c"} {
		if got := cluster.chains[name].Committed().Sequence; got != 1 {
			t.Errorf("%s committed up to %d once the chain was writable, want 1", name, got)
		}
	}
}

// The entries that a member was restored with may have been acknowledged before it stopped. As the only member left it
// commits them, so that reads return them and other machines learn them.
func TestShortChainCommitsWhatItWasRestoredWith(t *testing.T) {
	cluster := newEmptyCluster()
	cluster.addWith("a", nil, storedChange(1))
	cluster.add("b")
	cluster.adoptWith(minReplicas, 2, "a")
	cluster.chains["b"].RequestDocument("a")
	cluster.settle()
	for _, name := range []string{"a", "b"} {
		if got := cluster.chains[name].Committed().Sequence; got != 1 {
			t.Errorf("%s holds %d as committed, want 1", name, got)
		}
	}
}

// The entries that the head committed before a member joined may have been acknowledged. The joining member receives
// them as committed, so that machines that learn from it as the tail learn them, although the chain is not writable.
func TestShortChainTeachesWhatItsHeadHadCommitted(t *testing.T) {
	cluster := newEmptyCluster()
	for _, name := range []string{"a", "b", "c", "d"} {
		cluster.add(name)
	}
	cluster.adoptWith(minReplicas, 1, "a", "b")
	cluster.chains["c"].RequestDocument("b")
	cluster.settle()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	cluster.settle()
	delete(cluster.chains, "b")
	cluster.adoptWith(minReplicas+1, 2, "a", "c")
	cluster.chains["d"].RequestDocument("c")
	cluster.settle()
	cluster.chains["d"].RequestDocument("c")
	cluster.settle()
	for _, name := range []string{"c", "d"} {
		if got := cluster.chains[name].Committed().Sequence; got != 1 {
			t.Errorf("%s holds %d as committed, want 1", name, got)
		}
	}
}

// In a writable chain, a head may act only once its complete history is committed.
func TestWatermarkOfAWritableChainIsItsHistory(t *testing.T) {
	cluster := newEmptyCluster()
	cluster.addWith("a", nil, storedChange(1))
	cluster.add("b")
	cluster.adoptWith(minReplicas, 2, "a", "b")
	if err := cluster.chains["a"].Submit(cluster.now, change(2)); err != nil {
		t.Fatal(err)
	}
	if got := cluster.chains["a"].Watermark(); got != 2 {
		t.Errorf("a may act once it has committed up to %d, want 2", got)
	}
	cluster.adoptWith(minReplicas, 3, "a")
	if got := cluster.chains["a"].Watermark(); got != 1 {
		t.Errorf("a, alone, may act once it has committed up to %d, want 1", got)
	}
}

// Once a learned document has replaced a member's history, none of its entries counts as restored. Otherwise the member
// would commit alone a later entry that has the sequence of a dropped one and may be on its disk only.
func TestShortChainForgetsWhatItWasRestoredWith(t *testing.T) {
	cluster := newEmptyCluster()
	cluster.add("a")
	cluster.addWith("b", nil, storedChange(1), storedChange(2))
	cluster.add("c")
	cluster.adoptWith(minReplicas, 2, "a", "c")
	cluster.settle()
	cluster.chains["b"].RequestDocument("c")
	cluster.settle()
	cluster.adoptWith(minReplicas, 3, "a", "b", "c")
	cluster.settle()
	if err := cluster.chains["a"].Submit(cluster.now, change(3)); err != nil {
		t.Fatal(err)
	}
	cluster.sync("a")
	cluster.deliver()
	cluster.sync("b")
	cluster.messages = nil
	if got := cluster.chains["b"].Synced(); got != 1 {
		t.Fatalf("b synced up to %d, want 1", got)
	}
	cluster.adoptWith(minReplicas, 4, "b")
	cluster.settle()
	if got := cluster.commits["b"]; got != 0 {
		t.Errorf("b committed up to %d alone, want 0", got)
	}
}
