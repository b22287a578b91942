// Package membertest makes members for the tests of the packages that work on them.
package membertest

import (
	"strings"

	"wardtray/wire"
)

// Member returns a member with an id, in a zone of the same name and at an address made of it.
func Member(id string) *wire.Member { return &wire.Member{Id: id, Address: id + ":1", Zone: id} }

// Daemons returns data daemons, whose ids are their addresses; each is a single letter.
func Daemons(addresses string) []*wire.Member {
	daemons := make([]*wire.Member, 0, len(addresses))
	for _, address := range addresses {
		daemons = append(daemons, &wire.Member{Id: string(address), Address: string(address)})
	}
	return daemons
}

// Members returns members whose ids are single letters, in their order.
func Members(ids string) []*wire.Member {
	members := make([]*wire.Member, 0, len(ids))
	for _, id := range ids {
		members = append(members, Member(string(id)))
	}
	return members
}

// IDs returns the ids of members, joined in their order.
func IDs(members []*wire.Member) string {
	var joined strings.Builder
	for _, member := range members {
		joined.WriteString(member.Id)
	}
	return joined.String()
}
