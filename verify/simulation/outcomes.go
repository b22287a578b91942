package simulation

import "wardtray/wire"

// outcomes tracks the outcome of each operation, as committed by control machines and as reported to operators, and
// checks that both agree, on all machines and permanently.
type outcomes struct {
	checker *Checker
	// committed maps each operation that any control machine has committed to its epoch.
	committed map[string]uint64
	// refused are the operations that were reported as refused.
	refused map[string]bool
	// invalid are the operations that must not be accepted.
	invalid map[string]bool
	// acknowledged are the accepted changes, in order of their answers.
	acknowledged []*Order
}

func newOutcomes(checker *Checker) *outcomes {
	return &outcomes{
		checker:   checker,
		committed: map[string]uint64{},
		refused:   map[string]bool{},
		invalid:   map[string]bool{},
	}
}

// observe checks that each operation in a control machine's committed document has the same outcome everywhere.
func (outcomes *outcomes) observe(host *Host, document *wire.Document) {
	for _, outcome := range document.Outcomes {
		if outcomes.refused[outcome.Operation] {
			outcomes.checker.violation("%s was refused and is in effect at %s", outcome.Operation, host.Address)
		}
		if epoch, found := outcomes.committed[outcome.Operation]; found && epoch != outcome.SpecEpoch {
			outcomes.checker.violation("%s is epoch %d and %d", outcome.Operation, epoch, outcome.SpecEpoch)
		}
		outcomes.committed[outcome.Operation] = outcome.SpecEpoch
	}
}

// expectRefusal records that an operation must not be accepted.
func (outcomes *outcomes) expectRefusal(operation string) { outcomes.invalid[operation] = true }

// recordRefusal records that an operator's change was reported as refused.
func (outcomes *outcomes) recordRefusal(order *Order) {
	if _, committed := outcomes.committed[order.Operation]; committed {
		outcomes.checker.violation("%s was refused and is in effect", order.Operation)
	}
	outcomes.refused[order.Operation] = true
}

// withdrawRefusal drops a refusal that did not concern the change itself.
func (outcomes *outcomes) withdrawRefusal(operation string) { delete(outcomes.refused, operation) }

// checkAccepted checks that an acknowledged change is valid, committed, and the only one with its base.
func (outcomes *outcomes) checkAccepted(order *Order) {
	checker := outcomes.checker
	if outcomes.invalid[order.Operation] {
		checker.violation("invalid-accepted: %s is invalid and was accepted", order.Operation)
	}
	if epoch, committed := outcomes.committed[order.Operation]; !committed || epoch != order.Epoch {
		checker.violation("%s was acknowledged as epoch %d and is committed as %d", order.Operation, order.Epoch, epoch)
	}
	for _, other := range outcomes.acknowledged {
		if other.Operation != order.Operation && (other.Epoch == order.Epoch || haveSameBase(order, other)) {
			checker.violation("%s and %s were both accepted on one base", other.Operation, order.Operation)
		}
	}
}

// haveSameBase reports whether two changes name the same epoch as their base.
func haveSameBase(one, other *Order) bool {
	return namesBase[one.Verb] && namesBase[other.Verb] && one.Base == other.Base
}

// recordAccepted records an acknowledged change.
func (outcomes *outcomes) recordAccepted(order *Order) {
	outcomes.acknowledged = append(outcomes.acknowledged, order)
}

// requireKept checks that a control machine has every acknowledged change with its epoch, and no refused one.
func (outcomes *outcomes) requireKept(host *Host) {
	checker, kept := outcomes.checker, map[string]uint64{}
	for _, outcome := range host.core.node.Chain().Committed().Outcomes {
		kept[outcome.Operation] = outcome.SpecEpoch
	}
	for _, order := range outcomes.acknowledged {
		if epoch, found := kept[order.Operation]; !found || epoch != order.Epoch {
			checker.violation("forgotten: %s has %s as epoch %d, which was acknowledged as %d", host.Address,
				order.Operation, epoch, order.Epoch)
		}
	}
	for operation := range outcomes.refused {
		if _, found := kept[operation]; found {
			checker.violation("%s was refused and is in effect at %s", operation, host.Address)
		}
	}
}

// greatestCommitted returns the newest epoch that any control machine has committed, on which an operator bases a
// change.
func (outcomes *outcomes) greatestCommitted() uint64 {
	greatest := uint64(0)
	for _, epoch := range outcomes.committed {
		greatest = max(greatest, epoch)
	}
	return greatest
}

// greatestAcknowledged returns the greatest epoch of an acknowledged change; a read may return no older one.
func (outcomes *outcomes) greatestAcknowledged() uint64 {
	greatest := uint64(0)
	for _, order := range outcomes.acknowledged {
		greatest = max(greatest, order.Epoch)
	}
	return greatest
}
