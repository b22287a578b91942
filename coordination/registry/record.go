package registry

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"

	"wardtray/wire"
)

// The states of a record. A runner is Gone once it has said so, and Silent where no core hears it.
const (
	Ready    = "ready"
	Cold     = "cold"
	Draining = "draining"
	Gone     = "gone"
	Silent   = "silent"
)

// stages order the states that a runner never returns from.
var stages = map[string]int{Ready: 0, Cold: 0, Silent: 0, Draining: 1, Gone: 2}

// live are the states of runners that are still there.
var live = map[string]bool{Ready: true, Cold: true, Draining: true}

// serving are the states of runners that accept new work.
var serving = map[string]bool{Ready: true, Cold: true}

// version is what orders the records of one runner: a record itself, or what a digest says of it.
type version interface {
	GetState() string
	GetCall() uint64
}

// compareVersions orders two versions of one runner's record. A runner that drains or is gone never comes back under
// its id, so a stage counts more than any call; within a stage the later call does, and a runner is called silent
// under the call after which it was not heard.
func compareVersions(left, right version) int {
	return cmp.Or(
		cmp.Compare(stages[left.GetState()], stages[right.GetState()]),
		cmp.Compare(left.GetCall(), right.GetCall()),
		cmp.Compare(silentRank(left), silentRank(right)),
	)
}

func silentRank(version version) int {
	if version.GetState() == Silent {
		return 1
	}
	return 0
}

// Compare orders two records of one runner; the greater one wins everywhere. For how much longer a runner is cold is
// measured anew on each way and is no part of the order.
func Compare(left, right *wire.Runner) int {
	return cmp.Or(
		compareVersions(left, right),
		cmp.Compare(left.State, right.State),
		cmp.Compare(left.Address, right.Address),
		cmp.Compare(left.Zone, right.Zone),
		cmp.Compare(left.Service, right.Service),
		cmp.Compare(left.Revision, right.Revision),
		cmp.Compare(left.Slots, right.Slots),
	)
}

// checksum returns a live record's part of the sum by which two tables are compared; 0 for other records.
func checksum(record *wire.Runner) uint64 {
	if !live[record.State] {
		return 0
	}
	var suffix [9]byte
	binary.LittleEndian.PutUint64(suffix[:], record.Call)
	suffix[8] = byte(stages[record.State])
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(record.RunnerId)) // Writing to a hash can't fail.
	_, _ = hash.Write(suffix[:])
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash, as the first half of the finalizer of MurmurHash3 does, since hashes are added up.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// withState returns a copy of a record with another state and call. Records themselves are never modified, since others
// hold them.
func withState(record *wire.Runner, state string, call uint64) *wire.Runner {
	return &wire.Runner{
		RunnerId: record.RunnerId, Address: record.Address, Zone: record.Zone, Service: record.Service, State: state,
		Slots: record.Slots, Call: call, Revision: record.Revision,
	}
}
