package chain

import "testing"

// A tail whose disk is slower than the stream of changes never catches up with its predecessor. It is aligned once it
// has synced the entries that the predecessor had when the view began, since no newer entry was committed before the
// view began. If it had to catch up with all entries, no change would ever be committed again.
func TestSlowTailIsAlignedWhileChangesArrive(t *testing.T) {
	cluster := newCluster("a", "b", "c")
	submitOperation(t, cluster, 1)
	for range 4 {
		cluster.deliver()
		cluster.sync("a")
		cluster.sync("b")
		cluster.sync("c")
	}
	cluster.deliver()
	cluster.adopt(2, "a", "b")
	for number := range 30 {
		submitAndSync(t, cluster, number+2)
		cluster.now = cluster.now.Add(retransmitInterval)
		cluster.chains["a"].Tick(cluster.now)
		cluster.chains["b"].Tick(cluster.now)
		cluster.sync("a")
		cluster.deliver()
		// The disk of the tail is always one change behind.
		cluster.gather()
		if writes := cluster.writes["b"]; len(writes) > 1 {
			cluster.outbox["b"].Done(cluster.now, writes[len(writes)-2].Sequence)
			cluster.writes["b"] = writes[len(writes)-1:]
		}
	}
	if !cluster.chains["b"].IsTail() {
		t.Fatal("the tail is not aligned while changes keep arriving")
	}
	if committed := cluster.chains["b"].Committed().Sequence; committed < 20 {
		t.Fatalf("committed up to %d, want at least 20", committed)
	}
}
