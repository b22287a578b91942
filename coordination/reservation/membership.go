package reservation

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"wardtray/wire"
)

// Identity identifies one incarnation of a daemon process.
type Identity struct {
	Address     string
	Incarnation uint64
}

func identityOf(replica *wire.ReservationReplica) Identity {
	return Identity{Address: replica.Address, Incarnation: replica.Incarnation}
}

// Zone describes the replicas of one zone in one epoch.
type Zone struct {
	// Name is the name of the zone.
	Name string
	// Epoch is the epoch of the membership in which these replicas began to act.
	Epoch uint64
	// FirstEpoch is the epoch in which the zone got its first replicas. A daemon that acts in an earlier epoch does not
	// ask them.
	FirstEpoch uint64
	// CompleteSince is the epoch from which on the replicas know every reservation made in the zone.
	CompleteSince uint64
	// Replicas are sorted by address.
	Replicas []Identity
	// previous is the zone in the epoch before these replicas began to act; its own previous is nil.
	previous *Zone
	// groups caches the groups by shard.
	groups [ShardCount][]Identity
}

// newZone returns the zone that a message describes; nil stands for a zone without replicas.
func newZone(message *wire.ReservationZone) *Zone {
	return &Zone{Name: message.GetZone(), Epoch: message.GetEpoch(), FirstEpoch: message.GetBegun(),
		CompleteSince: message.GetCompleteSince(), Replicas: identitiesOf(message.GetReplicas()),
		previous: &Zone{Name: message.GetZone(), Epoch: message.GetPreviousEpoch(),
			Replicas: identitiesOf(message.GetPreviousReplicas())}}
}

// identitiesOf returns the identities of replicas, sorted by address.
func identitiesOf(replicas []*wire.ReservationReplica) []Identity {
	identities := make([]Identity, 0, len(replicas))
	for _, replica := range replicas {
		identities = append(identities, identityOf(replica))
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left].Address < identities[right].Address })
	return identities
}

// Group returns the replicas of a shard, chosen by rendezvous hashing: those with the highest weights, which moves as
// few shards as possible when replicas join or leave. A process that replaces another at its address has the same
// shards.
func (zone *Zone) Group(shard uint32) []Identity {
	if len(zone.Replicas) <= GroupSize {
		return zone.Replicas
	}
	if zone.groups[shard] == nil {
		zone.groups[shard] = zone.chooseGroup(shard)
	}
	return zone.groups[shard]
}

func (zone *Zone) chooseGroup(shard uint32) []Identity {
	ranked := slices.Clone(zone.Replicas)
	weights := make(map[string]uint64, len(ranked))
	for _, replica := range ranked {
		weights[replica.Address] = weightOf(shard, replica.Address)
	}
	sort.Slice(ranked, func(left, right int) bool {
		return weights[ranked[left].Address] > weights[ranked[right].Address]
	})
	return ranked[:GroupSize]
}

// weightOf returns the weight of an address for a shard.
func weightOf(shard uint32, address string) uint64 {
	hash := xxhash.New()
	// Writes to a hash can't fail.
	_, _ = hash.Write([]byte{byte(shard), byte(shard >> 8), byte(shard >> 16), byte(shard >> 24)})
	_, _ = hash.WriteString(address)
	return hash.Sum64()
}

// Membership holds the agreed replicas of all zones. It is not safe for concurrent use.
type Membership struct {
	epoch uint64
	// zones are sorted by name.
	zones []*Zone
}

// NewMembership returns the membership that a message describes; nil stands for one without replicas.
func NewMembership(message *wire.ReservationMembership) *Membership {
	membership := &Membership{epoch: message.GetEpoch()}
	for _, zone := range message.GetZones() {
		membership.zones = append(membership.zones, newZone(zone))
	}
	sort.Slice(membership.zones, func(left, right int) bool {
		return membership.zones[left].Name < membership.zones[right].Name
	})
	return membership
}

// Epoch returns the epoch of the membership, 0 if there is none yet.
func (membership *Membership) Epoch() uint64 { return membership.epoch }

// IsInForce reports whether requests are reserved, which is so if the membership has zones.
func (membership *Membership) IsInForce() bool { return len(membership.zones) > 0 }

// Zones returns the zones sorted by name; the caller must not modify the slice.
func (membership *Membership) Zones() []*Zone { return membership.zones }

// Zone returns the zone with a name, or nil.
func (membership *Membership) Zone(name string) *Zone {
	for _, zone := range membership.zones {
		if zone.Name == name {
			return zone
		}
	}
	return nil
}
