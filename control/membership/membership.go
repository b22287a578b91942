// Package membership provides functions over the lists of members in views and directories. None of them modifies its
// arguments.
package membership

import "wardtray/wire"

// Contains reports whether the members include one with the id.
func Contains(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}

// IsAcceptor reports whether the member with the id votes on the successor of the view.
func IsAcceptor(view *wire.View, id string) bool { return Contains(view.Acceptors, id) }

// Without returns the members except the one with the id.
func Without(members []*wire.Member, id string) []*wire.Member {
	var remaining []*wire.Member
	for _, member := range members {
		if member.Id != id {
			remaining = append(remaining, member)
		}
	}
	return remaining
}

// WithoutIndex returns a copy of the members except the one at the index.
func WithoutIndex(members []*wire.Member, index int) []*wire.Member {
	remaining := make([]*wire.Member, 0, len(members))
	remaining = append(remaining, members[:index]...)
	return append(remaining, members[index+1:]...)
}

// Join returns a new list that holds the members of the lists, in order.
func Join(lists ...[]*wire.Member) []*wire.Member {
	var joined []*wire.Member
	for _, members := range lists {
		joined = append(joined, members...)
	}
	return joined
}

// SameSet reports whether two lists hold the same members, in any order.
func SameSet(left, right []*wire.Member) bool {
	if len(left) != len(right) {
		return false
	}
	for _, member := range left {
		if !Contains(right, member.Id) {
			return false
		}
	}
	return true
}

// ZoneCounts returns the number of members in each zone.
func ZoneCounts(members []*wire.Member) map[string]int {
	counts := map[string]int{}
	for _, member := range members {
		counts[member.Zone]++
	}
	return counts
}
