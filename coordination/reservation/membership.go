package reservation

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"wardtray/wire"
)

// Identity names one incarnation of a daemon's process.
type Identity struct {
	Address     string
	Incarnation uint64
}

func identityOf(replica *wire.ReservationReplica) Identity {
	return Identity{Address: replica.Address, Incarnation: replica.Incarnation}
}

// Zone is the replicas of one zone in one epoch.
type Zone struct {
	// Name is the zone's.
	Name string
	// Epoch is that of the membership in which these replicas began to act.
	Epoch uint64
	// Begun is the epoch in which the zone got its first replicas. A daemon that acts in an earlier one does not ask them.
	Begun uint64
	// CompleteSince is the epoch from which on the replicas know every reservation of the zone.
	CompleteSince uint64
	// Replicas are in the order of their addresses.
	Replicas []Identity
	// previous is the zone before these replicas began; its own previous is nil.
	previous *Zone
	// groups holds the groups that were asked for.
	groups [ShardCount][]Identity
}

// newZone returns a zone as it is sent; nil stands for one without replicas.
func newZone(message *wire.ReservationZone) *Zone {
	return &Zone{Name: message.GetZone(), Epoch: message.GetEpoch(), Begun: message.GetBegun(),
		CompleteSince: message.GetCompleteSince(), Replicas: identitiesOf(message.GetReplicas()),
		previous: &Zone{Name: message.GetZone(), Epoch: message.GetPreviousEpoch(),
			Replicas: identitiesOf(message.GetPreviousReplicas())}}
}

// identitiesOf returns the identities of replicas in the order of their addresses.
func identitiesOf(replicas []*wire.ReservationReplica) []Identity {
	identities := make([]Identity, 0, len(replicas))
	for _, replica := range replicas {
		identities = append(identities, identityOf(replica))
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left].Address < identities[right].Address })
	return identities
}

// Group returns the replicas of a shard: those with the highest random weight, which moves as few shards as possible
// when replicas come and go. A process that follows another at its address has the shards of that one.
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

// Membership is the agreed replicas of all zones. It is not safe for concurrent use.
type Membership struct {
	epoch uint64
	// zones are in the order of their names.
	zones []*Zone
}

// NewMembership returns a membership as it is sent; nil stands for one that names no replica.
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

// Epoch returns the number of the membership, 0 if there is none yet.
func (membership *Membership) Epoch() uint64 { return membership.epoch }

// IsInForce reports whether requests are reserved at all: it names zones.
func (membership *Membership) IsInForce() bool { return len(membership.zones) > 0 }

// Zones returns the zones in the order of their names; it must not be changed.
func (membership *Membership) Zones() []*Zone { return membership.zones }

// Zone returns the zone of a name; nil: there is none.
func (membership *Membership) Zone(name string) *Zone {
	for _, zone := range membership.zones {
		if zone.Name == name {
			return zone
		}
	}
	return nil
}
