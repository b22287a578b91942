package simulation

import (
	"strings"
	"testing"

	"wardtray/control/proposal"
	"wardtray/wire"
)

func TestReplicaCheckComparesDocumentsOfOneSequence(t *testing.T) {
	checker := NewWorld(1).Check
	host := &Host{Address: "core"}
	checker.replicas.compare(host, &wire.Document{Sequence: 1, SpecEpoch: 1})
	checker.replicas.compare(host, &wire.Document{Sequence: 1, SpecEpoch: 1})
	checker.replicas.compare(host, &wire.Document{Sequence: 2, SpecEpoch: 2})
	if len(checker.Violations) > 0 {
		t.Fatalf("equal documents: %v", checker.Violations)
	}
	checker.replicas.compare(host, &wire.Document{Sequence: 2, SpecEpoch: 3})
	if len(checker.Violations) != 1 || !strings.Contains(checker.Violations[0], "core holds another document 2") {
		t.Errorf("violations %v, want one of document 2", checker.Violations)
	}
}

func TestReplicaCheckRequiresCopiesOnEnoughDisks(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	order := world.Check.Send(world.injector.head(),
		&wire.OperatorRequest{Verb: proposal.VerbApply, Spec: SpecText(1), HasBase: true, Operation: "change"})
	world.recovery.requireService()
	if !order.isAccepted() || len(world.Check.Violations) > 0 {
		t.Fatalf("the change is %s; %v", order.Outcome, world.Check.Violations)
	}
	if copies := world.Check.replicas.copies[order.Epoch]; copies < world.Faults+1 {
		t.Errorf("counted %d copies of an acknowledged change, want %d", copies, world.Faults+1)
	}
	world.Check.replicas.requireCopies(&Order{Operation: "another", Epoch: order.Epoch + 1000})
	violations := world.Check.Violations
	if len(violations) != 1 || !strings.Contains(violations[0], "another was acknowledged with 0") {
		t.Errorf("violations %v, want one of the change that no disk has", violations)
	}
}
