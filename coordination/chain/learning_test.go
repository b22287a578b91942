package chain

import (
	"testing"

	"wardtray/wire"
)

// A member outside the chain receives newer documents while its disk still writes the first. It completes the first and
// ignores the others. If each replaced the one before, a member with a slow disk would never finish learning.
func TestLearningCompletesWhileDocumentsArrive(t *testing.T) {
	cluster := newCluster("a")
	cluster.add("b")
	cluster.adopt(2, "a")
	cluster.deliver()
	learner := cluster.chains["b"]
	cluster.gather()
	for number := 1; number <= 5; number++ {
		submitAndSync(t, cluster, number)
		learner.RequestDocument("a")
		cluster.deliver()
	}
	first := cluster.writes["b"][0]
	cluster.outbox["b"].Done(cluster.now, first.Sequence)
	if learner.LearnedView() != 2 || learner.Committed().SpecEpoch != 1 || learner.Synced() != 1 {
		t.Fatalf("learned in view %d, committed %d, synced %d; want 2, 1 and 1",
			learner.LearnedView(), learner.Committed().SpecEpoch, learner.Synced())
	}
	learner.RequestDocument("a")
	cluster.deliver()
	cluster.sync("b")
	if learner.Committed().SpecEpoch != 5 || learner.Synced() != 5 {
		t.Fatalf("after the second document: committed %d, synced %d, want 5 and 5",
			learner.Committed().SpecEpoch, learner.Synced())
	}
}

// While the disk of a member outside the chain writes a document, the member must not request another one. It would
// drop the response, which is as large as the complete configuration.
func TestLearnerRequestsNothingThatItWouldDrop(t *testing.T) {
	cluster := newCluster("a")
	cluster.add("b")
	cluster.adopt(2, "a")
	cluster.deliver()
	learner := cluster.chains["b"]
	documents := func() int {
		learner.RequestDocument("a")
		cluster.gather()
		sent := 0
		for len(cluster.messages) > 0 {
			message := cluster.messages[0]
			cluster.messages = cluster.messages[1:]
			if message.envelope.GetLearnResponse() != nil {
				sent++
			}
			cluster.handle(message)
			cluster.gather()
		}
		return sent
	}
	submitAndSync(t, cluster, 1)
	if sent := documents(); sent != 1 {
		t.Fatalf("%d documents sent for the first request, want 1", sent)
	}
	for number := 2; number <= 4; number++ {
		submitAndSync(t, cluster, number)
		if sent := documents(); sent != 0 {
			t.Errorf("%d documents sent while the first is being written, want 0", sent)
		}
	}
	cluster.sync("b")
	if sent := documents(); sent != 1 {
		t.Errorf("%d documents sent once the first is synced, want 1", sent)
	}
	cluster.sync("b")
	if sent := documents(); sent != 0 || learner.Committed().SpecEpoch != 4 {
		t.Errorf("%d documents sent with nothing new, want 0; committed %d, want 4", sent, learner.Committed().SpecEpoch)
	}
	// A new view requires a new document, even while one is being written.
	submitAndSync(t, cluster, 5)
	documents()
	cluster.adopt(3, "a")
	cluster.deliver()
	if sent := documents(); sent != 1 {
		t.Errorf("%d documents sent in a new view, want 1", sent)
	}
}

// A member that learned the document outside the chain is marked as incomplete, in memory and on its disk, until its
// predecessor in the chain confirms its alignment and that is synced. Otherwise it could become the only member of the
// chain without entries that were committed before it joined.
func TestLearnerIsIncompleteUntilAligned(t *testing.T) {
	cluster := newCluster("a")
	cluster.add("b")
	cluster.adopt(2, "a")
	cluster.deliver()
	submitAndSync(t, cluster, 1)
	learner := cluster.chains["b"]
	learner.RequestDocument("a")
	cluster.deliver()
	if write := cluster.writes["b"][0]; write.Record.GetDocument() == nil || !write.Record.Incomplete {
		t.Fatalf("the record of the learned document is not marked as incomplete: %v", write.Record)
	}
	cluster.sync("b")
	submitAndSync(t, cluster, 2)
	cluster.adopt(3, "a", "b")
	cluster.deliver()
	if snapshot := new(wire.DurableState); learner.Incomplete() {
		learner.AddToSnapshot(snapshot)
		if !snapshot.Incomplete {
			t.Fatal("the snapshot of an incomplete member is not marked as incomplete")
		}
	} else {
		t.Fatal("complete before it received the entry that was committed meanwhile")
	}
	cluster.sync("b")
	cluster.deliver()
	if !learner.Incomplete() || learner.Committed().SpecEpoch != 2 {
		t.Fatalf("before the completion record is synced: incomplete %v, committed %d, want true and 2",
			learner.Incomplete(), learner.Committed().SpecEpoch)
	}
	cluster.sync("b")
	if learner.Incomplete() {
		t.Fatal("still incomplete after the completion record is synced")
	}
}
