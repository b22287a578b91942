package simulation

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// replicaCheck checks that all cores agree on history, that one at most leads, and that what is acknowledged stands on
// as many disks as it must.
type replicaCheck struct {
	checker *Checker
	// digests are of the committed document of each sequence.
	digests map[uint64][sha256.Size]byte
	// observed is the newest sequence that was looked at of each core, by its address.
	observed map[string]uint64
	// copies is on how many disks of its chain a head that may act had an epoch, at most.
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

// step checks what a step of a running core can have broken.
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

// compare checks that a core's document is the same as all others' of its sequence.
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

// requireOneLeader checks that no other core leads beside one.
func (check *replicaCheck) requireOneLeader(host *Host) {
	for _, other := range check.checker.world.Hosts {
		if other != host && other.core != nil && other.core.isLeading() {
			check.checker.violation("%s and %s lead at once", host.Address, other.Address)
		}
	}
}

// countCopies notes on how many disks of its own chain a head has what it may acknowledge now. Why: the answer itself
// may reach its client much later, when the chain is another.
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

// requireCopies checks that an acknowledged order stands on as many disks as may be lost, and one more: with three
// disks or more no change may be told as accepted that stands on one disk only.
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

// holds reports whether a member of an identity is among others.
func holds(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}
