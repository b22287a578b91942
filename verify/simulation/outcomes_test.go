package simulation

import (
	"strings"
	"testing"

	"wardtray/control/proposal"
	"wardtray/wire"
)

// documentWith returns a document in which an operation has the given epoch.
func documentWith(operation string, epoch uint64) *wire.Document {
	return &wire.Document{SpecEpoch: epoch, Outcomes: []*wire.Outcome{{Operation: operation, SpecEpoch: epoch}}}
}

func TestOutcomesAgreeEverywhere(t *testing.T) {
	accepted := &Order{Operation: "one", Verb: proposal.VerbApply, Base: 1, Epoch: 2}
	rival := &Order{Operation: "two", Verb: proposal.VerbChange, Base: 1, Epoch: 3}
	tests := []struct {
		name string
		do   func(outcomes *outcomes, host *Host)
		want string
	}{
		{"committed and acknowledged", func(outcomes *outcomes, host *Host) {
			outcomes.observe(host, documentWith("one", 2))
			outcomes.checkAccepted(accepted)
		}, ""},
		{"two epochs of one operation", func(outcomes *outcomes, host *Host) {
			outcomes.observe(host, documentWith("one", 2))
			outcomes.observe(host, documentWith("one", 3))
		}, "one is epoch 2 and 3"},
		{"refused, then committed", func(outcomes *outcomes, host *Host) {
			outcomes.recordRefusal(accepted)
			outcomes.observe(host, documentWith("one", 2))
		}, "one was refused and is in effect at core"},
		{"committed, then refused", func(outcomes *outcomes, host *Host) {
			outcomes.observe(host, documentWith("one", 2))
			outcomes.recordRefusal(accepted)
		}, "one was refused and is in effect"},
		{"refusal withdrawn", func(outcomes *outcomes, host *Host) {
			outcomes.recordRefusal(accepted)
			outcomes.withdrawRefusal("one")
			outcomes.observe(host, documentWith("one", 2))
		}, ""},
		{"acknowledged, not committed", func(outcomes *outcomes, _ *Host) {
			outcomes.checkAccepted(accepted)
		}, "one was acknowledged as epoch 2 and is committed as 0"},
		{"invalid", func(outcomes *outcomes, host *Host) {
			outcomes.expectRefusal("one")
			outcomes.observe(host, documentWith("one", 2))
			outcomes.checkAccepted(accepted)
		}, "invalid-accepted: one"},
		{"two on one base", func(outcomes *outcomes, host *Host) {
			outcomes.observe(host, documentWith("one", 2))
			outcomes.observe(host, documentWith("two", 3))
			outcomes.recordAccepted(accepted)
			outcomes.checkAccepted(rival)
		}, "one and two were both accepted on one base"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := NewWorld(1).Check
			test.do(checker.outcomes, &Host{Address: "core"})
			violations := strings.Join(checker.Violations, "; ")
			if (violations == "") != (test.want == "") || !strings.Contains(violations, test.want) {
				t.Errorf("violations %q, want %q", violations, test.want)
			}
		})
	}
}

func TestOutcomesKnowTheGreatestEpochs(t *testing.T) {
	outcomes := NewWorld(1).Check.outcomes
	if outcomes.greatestCommitted() != 0 || outcomes.greatestAcknowledged() != 0 {
		t.Error("an epoch is known before any change")
	}
	for _, epoch := range []uint64{3, 7, 5} {
		outcomes.observe(&Host{}, documentWith(string(rune('a'+epoch)), epoch))
	}
	outcomes.recordAccepted(&Order{Epoch: 5})
	outcomes.recordAccepted(&Order{Epoch: 3})
	if committed, acknowledged := outcomes.greatestCommitted(), outcomes.greatestAcknowledged(); committed != 7 ||
		acknowledged != 5 {
		t.Errorf("committed %d, acknowledged %d, want 7 and 5", committed, acknowledged)
	}
}
