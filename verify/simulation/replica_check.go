package simulation

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// replicaCheck checks that all control machines agree on the history, that at most one leads, and that acknowledged
// changes are on enough disks.
type replicaCheck struct {
	checker *Checker
	// digests are the digests of the committed documents, by sequence.
	digests map[uint64][sha256.Size]byte
	// observed is the newest sequence checked of each control machine, by its address.
	observed map[string]uint64
	// copies is, for each epoch, the greatest number of disks of its chain on which a head that may act had it.
	copies map[uint64]int
}

func newReplicaCheck(checker *Checker) *replicaCheck {
	return &replicaCheck{
		checker:  checker,
		digests:  map[uint64][sha256.Size]byte{},
		observed: map[string]uint64{},
		copies:   map[uint64]int{},
	}
}

// step checks the rules that a step of a running control node may have violated.
func (check *replicaCheck) step(host *Host) {
	document := host.core.node.Chain().Committed()
	_, known := check.digests[document.Sequence]
	if document.Sequence > check.observed[host.Address] || document.Sequence > 0 && !known {
		check.observed[host.Address] = document.Sequence
		check.compare(host, document)
		check.checker.outcomes.observe(host, document)
	}
	if host.core.isLeading() {
		check.countCopies(host)
		check.requireOneLeader(host)
	}
}

// compare checks that a control node's document equals all others of the same sequence.
func (check *replicaCheck) compare(host *Host, document *wire.Document) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(document)
	if err != nil {
		panic(err)
	}
	digest := sha256.Sum256(content)
	if other, found := check.digests[document.Sequence]; found && other != digest {
		check.checker.violation("%s holds another document %d than others", host.Address, document.Sequence)
	}
	check.digests[document.Sequence] = digest
}

// requireOneLeader checks that no other control node leads at the same time.
func (check *replicaCheck) requireOneLeader(host *Host) {
	for _, other := range check.checker.world.Hosts {
		if other != host && other.core != nil && other.core.isLeading() {
			check.checker.violation("%s and %s lead at once", host.Address, other.Address)
		}
	}
}

// countCopies records on how many disks of its chain a head has the epoch that it may acknowledge now. The copies can't
// be counted later, when the answer arrives: by then the chain may have changed.
func (check *replicaCheck) countCopies(head *Host) {
	epoch, copies := head.core.node.Chain().Committed().SpecEpoch, 0
	for _, host := range check.checker.world.Cores() {
		other := host.core.node
		if other != nil && holds(head.core.node.View().Chain, other.Self().Id) && host.core.hasSynced(epoch) {
			copies++
		}
	}
	check.copies[epoch] = max(check.copies[epoch], copies)
}

// requireCopies checks that an acknowledged change is on one more disk than may be lost at once: with three disks or
// more, no change that is on one disk only may be reported as accepted.
func (check *replicaCheck) requireCopies(order *Order) {
	world := check.checker.world
	for _, host := range world.Cores() {
		if host.core.isLeading() {
			check.countCopies(host)
		}
	}
	copies := 0
	for epoch, held := range check.copies {
		if epoch >= order.Epoch {
			copies = max(copies, held)
		}
	}
	if copies < min(world.Faults+1, len(world.founders)) {
		check.checker.violation("%s was acknowledged with %d synced copies in the chain", order.Operation, copies)
	}
}

// holds reports whether members contain one with this id.
func holds(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}
