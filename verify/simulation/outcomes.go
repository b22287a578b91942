package simulation

import "wardtray/wire"

// outcomes is what became of each operation, by what cores have committed and by what operators were answered. It
// checks that both agree, everywhere and for good.
type outcomes struct {
	checker *Checker
	// committed is the epoch of each operation that any core has committed.
	committed map[string]uint64
	// refused are the operations that an operator was told are refused.
	refused map[string]bool
	// invalid are the changes that no fleet may accept.
	invalid map[string]bool
	// acknowledged are the accepted changes, in the order of their answers.
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

// observe checks that each operation in a core's committed document has one outcome everywhere.
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

// expectRefusal notes that no fleet may accept an operation.
func (outcomes *outcomes) expectRefusal(operation string) { outcomes.invalid[operation] = true }

// recordRefusal takes in that an operator was told that its change is refused.
func (outcomes *outcomes) recordRefusal(order *Order) {
	if _, committed := outcomes.committed[order.Operation]; committed {
		outcomes.checker.violation("%s was refused and is in effect", order.Operation)
	}
	outcomes.refused[order.Operation] = true
}

// withdrawRefusal forgets a refusal that was no word on the change itself.
func (outcomes *outcomes) withdrawRefusal(operation string) { delete(outcomes.refused, operation) }

// checkAccepted checks that an acknowledged order is valid, in effect, and the only one on its base.
func (outcomes *outcomes) checkAccepted(order *Order) {
	checker := outcomes.checker
	if outcomes.invalid[order.Operation] {
		checker.violation("invalid-accepted: %s is invalid and was accepted", order.Operation)
	}
	if epoch, committed := outcomes.committed[order.Operation]; !committed || epoch != order.Epoch {
		checker.violation("%s was acknowledged as epoch %d and is committed as %d", order.Operation, order.Epoch, epoch)
	}
	for _, other := range outcomes.acknowledged {
		if other.Operation != order.Operation && (other.Epoch == order.Epoch || haveOneBase(order, other)) {
			checker.violation("%s and %s were both accepted on one base", other.Operation, order.Operation)
		}
	}
}

// haveOneBase reports whether two changes name the same epoch that they are built on.
func haveOneBase(one, other *Order) bool {
	return namesBase[one.Verb] && namesBase[other.Verb] && one.Base == other.Base
}

// recordAccepted takes in an acknowledged order.
func (outcomes *outcomes) recordAccepted(order *Order) {
	outcomes.acknowledged = append(outcomes.acknowledged, order)
}

// requireKept checks that a core has every acknowledged change under its epoch, and no refused one.
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

// greatestCommitted is the epoch that an operator who reads would build on.
func (outcomes *outcomes) greatestCommitted() uint64 {
	greatest := uint64(0)
	for _, epoch := range outcomes.committed {
		greatest = max(greatest, epoch)
	}
	return greatest
}

// greatestAcknowledged is the greatest epoch of an acknowledged order; reads may give no older one.
func (outcomes *outcomes) greatestAcknowledged() uint64 {
	greatest := uint64(0)
	for _, order := range outcomes.acknowledged {
		greatest = max(greatest, order.Epoch)
	}
	return greatest
}
