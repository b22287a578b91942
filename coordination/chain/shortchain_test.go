package chain

import (
	"testing"
	"time"

	"wardtray/wire"
)

// replicas is how many replicas a change needs in the tests of chains that are too short to be writable.
const replicas = 2

// settle lets time pass, messages arrive and disks sync until nothing changes any more.
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

// numbered returns a change with its number as its sequence, as a disk holds it.
func numbered(number int) *wire.Entry {
	entry := change(number)
	entry.Sequence = uint64(number)
	return entry
}

// A change that only the last remaining member has synced was acknowledged by nobody. Committed by that member alone it
// would be lost with its disk, so it stays pending until there are two members again.
func TestShortChainKeepsWhatWasNotAcknowledgedPending(t *testing.T) {
	cluster := newEmptyCluster()
	for _, name := range []string{"a", "b", "c"} {
		cluster.add(name)
	}
	cluster.adoptWith(replicas, 1, "a", "b")
	cluster.deliver()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	cluster.sync("a")
	cluster.messages = nil
	delete(cluster.chains, "b")
	cluster.adoptWith(replicas, 2, "a")
	cluster.chains["c"].RequestDocument("a")
	cluster.settle()
	if got := cluster.commits["a"]; got != 0 {
		t.Fatalf("the only member committed up to %d alone", got)
	}
	if got := cluster.chains["a"].Watermark(); got != 0 {
		t.Errorf("the only member may not act before it has committed up to %d, want 0", got)
	}
	if got := cluster.chains["c"].Latest().Sequence; got != 0 || cluster.chains["c"].LearnedView() != 2 {
		t.Fatalf("c learned up to %d in view %d, want 0 in view 2", got, cluster.chains["c"].LearnedView())
	}
	cluster.adoptWith(replicas, 3, "a", "c")
	cluster.settle()
	for _, name := range []string{"a", "c"} {
		if got := cluster.chains[name].Committed().Sequence; got != 1 {
			t.Errorf("%s committed up to %d once the chain was writable, want 1", name, got)
		}
	}
}

// What a member was restored with may have been acknowledged before it ended, so that a read has to return it, and
// whoever learns has to learn it, although nobody else is left.
func TestShortChainCommitsWhatItWasRestoredWith(t *testing.T) {
	cluster := newEmptyCluster()
	cluster.addWith("a", nil, numbered(1))
	cluster.add("b")
	cluster.adoptWith(replicas, 2, "a")
	cluster.chains["b"].RequestDocument("a")
	cluster.settle()
	for _, name := range []string{"a", "b"} {
		if got := cluster.chains[name].Committed().Sequence; got != 1 {
			t.Errorf("%s holds %d as committed, want 1", name, got)
		}
	}
}

// What the head had committed before a member joined may have been acknowledged: the member gets it as committed, so
// that whoever learns from it as the tail learns it.
func TestShortChainTeachesWhatItsHeadHadCommitted(t *testing.T) {
	cluster := newEmptyCluster()
	for _, name := range []string{"a", "b", "c", "d"} {
		cluster.add(name)
	}
	cluster.adoptWith(replicas, 1, "a", "b")
	cluster.chains["c"].RequestDocument("b")
	cluster.settle()
	if err := cluster.chains["a"].Submit(cluster.now, change(1)); err != nil {
		t.Fatal(err)
	}
	cluster.settle()
	delete(cluster.chains, "b")
	cluster.adoptWith(replicas+1, 2, "a", "c")
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

// Where the chain is writable, a head has to see all of its history committed before it may act.
func TestWatermarkOfAWritableChainIsItsHistory(t *testing.T) {
	cluster := newEmptyCluster()
	cluster.addWith("a", nil, numbered(1))
	cluster.add("b")
	cluster.adoptWith(replicas, 2, "a", "b")
	if err := cluster.chains["a"].Submit(cluster.now, change(2)); err != nil {
		t.Fatal(err)
	}
	if got := cluster.chains["a"].Watermark(); got != 2 {
		t.Errorf("a may act once it has committed up to %d, want 2", got)
	}
	cluster.adoptWith(replicas, 3, "a")
	if got := cluster.chains["a"].Watermark(); got != 1 {
		t.Errorf("a, alone, may act once it has committed up to %d, want 1", got)
	}
}

// A history that was replaced by a learned document holds nothing that the member was restored with: a later entry with
// the sequence of a dropped one may be on one disk only.
func TestShortChainForgetsWhatItWasRestoredWith(t *testing.T) {
	cluster := newEmptyCluster()
	cluster.add("a")
	cluster.addWith("b", nil, numbered(1), numbered(2))
	cluster.add("c")
	cluster.adoptWith(replicas, 2, "a", "c")
	cluster.settle()
	cluster.chains["b"].RequestDocument("c")
	cluster.settle()
	cluster.adoptWith(replicas, 3, "a", "b", "c")
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
	cluster.adoptWith(replicas, 4, "b")
	cluster.settle()
	if got := cluster.commits["b"]; got != 0 {
		t.Errorf("b committed up to %d alone", got)
	}
}
