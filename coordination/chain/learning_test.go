package chain

import (
	"testing"

	"wardtray/wire"
)

// Of several documents that a member outside the chain is sent while its disk is at work on the first, the first is
// brought to its end. If each took the index of the one before, a slow disk would never come in.
func TestLearningCompletesWhileDocumentsArrive(t *testing.T) {
	cluster := newCluster("a")
	cluster.add("b")
	cluster.adopt(2, "a")
	cluster.deliver()
	learner := cluster.chains["b"]
	cluster.gather()
	for number := 1; number <= 5; number++ {
		enterAndSync(t, cluster, number)
		learner.RequestDocument("a")
		cluster.deliver()
	}
	first := cluster.writes["b"][0]
	cluster.outbox["b"].Done(cluster.now, first.Sequence)
	if learner.LearnedView() != 2 || learner.Committed().SpecEpoch != 1 || learner.Synced() != 1 {
		t.Fatalf("learned in view %d, committed %d, synced %d",
			learner.LearnedView(), learner.Committed().SpecEpoch, learner.Synced())
	}
	learner.RequestDocument("a")
	cluster.deliver()
	cluster.sync("b")
	if learner.Committed().SpecEpoch != 5 || learner.Synced() != 5 {
		t.Fatalf("then committed %d, synced %d", learner.Committed().SpecEpoch, learner.Synced())
	}
}

// While a document is on its way to the disk of a member outside the chain, the tail sends no other one in vain: each
// is as long as the whole configuration.
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
	enterAndSync(t, cluster, 1)
	if sent := documents(); sent != 1 {
		t.Fatalf("%d documents at first", sent)
	}
	for number := 2; number <= 4; number++ {
		enterAndSync(t, cluster, number)
		if sent := documents(); sent != 0 {
			t.Errorf("%d documents while the first is written", sent)
		}
	}
	cluster.sync("b")
	if sent := documents(); sent != 1 {
		t.Errorf("%d documents once it is written", sent)
	}
	cluster.sync("b")
	if sent := documents(); sent != 0 || learner.Committed().SpecEpoch != 4 {
		t.Errorf("%d documents, committed %d, in the end", sent, learner.Committed().SpecEpoch)
	}
	// Another view wants another document, whatever becomes of the one on its way.
	enterAndSync(t, cluster, 5)
	documents()
	cluster.adopt(3, "a")
	cluster.deliver()
	if sent := documents(); sent != 1 {
		t.Errorf("%d documents in another view", sent)
	}
}

// A member that learned the document outside the chain says, also on its disk, that it may lack something, until its
// predecessor in the chain has seen it to have all and the disk holds that.
func TestLearnerIsIncompleteUntilAligned(t *testing.T) {
	cluster := newCluster("a")
	cluster.add("b")
	cluster.adopt(2, "a")
	cluster.deliver()
	enterAndSync(t, cluster, 1)
	learner := cluster.chains["b"]
	learner.RequestDocument("a")
	cluster.deliver()
	if write := cluster.writes["b"][0]; write.Record.GetDocument() == nil || !write.Record.Incomplete {
		t.Fatalf("the disk is told %v", write.Record)
	}
	cluster.sync("b")
	enterAndSync(t, cluster, 2)
	cluster.adopt(3, "a", "b")
	cluster.deliver()
	if snapshot := new(wire.DurableState); learner.Incomplete() {
		learner.AddTo(snapshot)
		if !snapshot.Incomplete {
			t.Fatal("a snapshot says nothing of it")
		}
	} else {
		t.Fatal("complete before it was sent what came meanwhile")
	}
	cluster.sync("b")
	cluster.deliver()
	if !learner.Incomplete() || learner.Committed().SpecEpoch != 2 {
		t.Fatalf("incomplete %v with %d committed, before the disk holds that it is not",
			learner.Incomplete(), learner.Committed().SpecEpoch)
	}
	cluster.sync("b")
	if learner.Incomplete() {
		t.Fatal("still incomplete")
	}
}
