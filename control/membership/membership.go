// Package membership has functions over the lists of members that views and directories consist of. None of them
// changes the list that it is passed.
package membership

import "wardtray/wire"

// Contains reports whether a member with an id is in a list.
func Contains(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}

// IsAcceptor reports whether a member votes on the successor of a view.
func IsAcceptor(view *wire.View, id string) bool { return Contains(view.Acceptors, id) }

// Without returns the members but for the one with an id.
func Without(members []*wire.Member, id string) []*wire.Member {
	var remaining []*wire.Member
	for _, member := range members {
		if member.Id != id {
			remaining = append(remaining, member)
		}
	}
	return remaining
}

// WithoutIndex returns a copy of the members but for the one at an index.
func WithoutIndex(members []*wire.Member, index int) []*wire.Member {
	remaining := make([]*wire.Member, 0, len(members))
	remaining = append(remaining, members[:index]...)
	return append(remaining, members[index+1:]...)
}

// Join returns the members of several lists, in order, in a list of its own.
func Join(lists ...[]*wire.Member) []*wire.Member {
	var joined []*wire.Member
	for _, members := range lists {
		joined = append(joined, members...)
	}
	return joined
}

// SameSet reports whether two lists have the same members in any order.
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

// ZoneCounts counts the members in each zone.
func ZoneCounts(members []*wire.Member) map[string]int {
	counts := map[string]int{}
	for _, member := range members {
		counts[member.Zone]++
	}
	return counts
}
