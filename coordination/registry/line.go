// Package registry is the list of runners that register themselves, as a pure state machine. Every core
// and every data daemon holds a book of lines, one a runner; lines are joined by an order that all agree
// on, so that losses, repeats and the order of arrival do not matter. A registrar takes the runners' calls
// at a core, tells everybody what changed, and notices who has fallen silent. See docs/registry.md.
package registry

import (
	"cmp"
	"hash/fnv"

	"wardtray/wire"
)

// The states of a line. A runner is gone once it has said so; it is silent where nobody hears it.
const (
	Ready    = "ready"
	Cold     = "cold"
	Draining = "draining"
	Gone     = "gone"
	Silent   = "silent"
)

// stages order the states that a runner never goes back from.
var stages = map[string]int{Ready: 0, Cold: 0, Silent: 0, Draining: 1, Gone: 2}

// live are the states of runners that are still there.
var live = map[string]bool{Ready: true, Cold: true, Draining: true}

// serving are the states of runners that take new work.
var serving = map[string]bool{Ready: true, Cold: true}

// order compares two versions of one runner's line. Why: a runner that drains or is gone never comes back
// under its id, so a stage counts more than any call; within a stage the later call does, and silence is
// told of the call after which nothing was heard.
func order(leftState string, leftCall uint64, rightState string, rightCall uint64) int {
	silent := func(state string) int {
		if state == Silent {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(stages[leftState], stages[rightState]), cmp.Compare(leftCall, rightCall), cmp.Compare(silent(leftState), silent(rightState)))
}

// Compare orders two lines of one runner; the greater one holds. How long a runner is still cold is told
// anew on each way and is no part of the order.
func Compare(left, right *wire.Runner) int {
	return cmp.Or(order(left.State, left.Call, right.State, right.Call), cmp.Compare(left.State, right.State), cmp.Compare(left.Address, right.Address),
		cmp.Compare(left.Zone, right.Zone), cmp.Compare(left.Service, right.Service), cmp.Compare(left.Revision, right.Revision), cmp.Compare(left.Slots, right.Slots))
}

// weight is a live line's part of the sum by which two books are compared.
func weight(line *wire.Runner) uint64 {
	if !live[line.State] {
		return 0
	}
	hash := fnv.New64a()
	var call [9]byte
	for place := range 8 {
		call[place] = byte(line.Call >> (8 * place))
	}
	call[8] = byte(stages[line.State])
	_, _ = hash.Write([]byte(line.RunnerId)) // Writing to a hash can't fail.
	_, _ = hash.Write(call[:])
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// changed gives a line with another state and call; lines themselves are never altered, since others hold them.
func changed(line *wire.Runner, state string, call uint64) *wire.Runner {
	return &wire.Runner{RunnerId: line.RunnerId, Address: line.Address, Zone: line.Zone, Service: line.Service, State: state, Slots: line.Slots,
		Call: call, Revision: line.Revision}
}
