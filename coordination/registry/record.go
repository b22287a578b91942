package registry

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"

	"wardtray/wire"
)

// The states of a record. A runner is Gone once it was deregistered or its drain is over, and Silent while no control
// node receives its calls.
const (
	Ready    = "ready"
	Cold     = "cold"
	Draining = "draining"
	Gone     = "gone"
	Silent   = "silent"
)

// stages orders the states; a runner never returns to a lower stage.
var stages = map[string]int{Ready: 0, Cold: 0, Silent: 0, Draining: 1, Gone: 2}

// live holds the states of runners that are still running.
var live = map[string]bool{Ready: true, Cold: true, Draining: true}

// serving holds the states of runners that accept new requests.
var serving = map[string]bool{Ready: true, Cold: true}

// version is the part of a record that orders the records of one runner. It is implemented by a record and by its entry
// in a digest.
type version interface {
	GetState() string
	GetCall() uint64
}

// compareVersions orders two versions of one runner's record. A runner that drains or is gone never returns under its
// id, so a higher stage wins over any call. Within a stage the later call wins; a silent record has the number of the
// last call before the silence and wins over that call.
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

// Compare orders two records of one runner; the greater one wins in every table. The remaining slow start is not
// compared, since each sender recomputes it.
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

// checksum returns the contribution of a record to a table's checksum; 0 if it is not live.
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

// mix spreads the bits of a hash with the first half of the finalizer of MurmurHash3, since the hashes are added up.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// withState returns a copy of a record with another state and call. Records are shared and never modified.
func withState(record *wire.Runner, state string, call uint64) *wire.Runner {
	return &wire.Runner{
		RunnerId: record.RunnerId, Address: record.Address, Zone: record.Zone, Service: record.Service, State: state,
		Slots: record.Slots, Call: call, Revision: record.Revision,
	}
}
