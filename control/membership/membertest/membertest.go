// Package membertest creates members for tests.
package membertest

import (
	"strings"

	"wardtray/wire"
)

// Member returns a member with the id, whose zone is the id and whose address is the id with port 1.
func Member(id string) *wire.Member { return &wire.Member{Id: id, Address: id + ":1", Zone: id} }

// Daemons returns one data daemon for each letter of addresses; the letter is its id and its address.
func Daemons(addresses string) []*wire.Member {
	daemons := make([]*wire.Member, 0, len(addresses))
	for _, address := range addresses {
		daemons = append(daemons, &wire.Member{Id: string(address), Address: string(address)})
	}
	return daemons
}

// Members returns one member for each letter of ids, in order.
func Members(ids string) []*wire.Member {
	members := make([]*wire.Member, 0, len(ids))
	for _, id := range ids {
		members = append(members, Member(string(id)))
	}
	return members
}

// IDs returns the concatenated ids of the members, in order.
func IDs(members []*wire.Member) string {
	var joined strings.Builder
	for _, member := range members {
		joined.WriteString(member.Id)
	}
	return joined.String()
}
