package reservation

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// Candidate is a daemon that may become a replica.
type Candidate struct {
	Identity
	Zone string
	// IsolationMilliseconds is the time in milliseconds for which the daemon may continue to serve while it reaches no
	// control machine.
	IsolationMilliseconds uint32
}

// PlanInput holds the inputs, besides the present membership, from which Plan derives the next one.
type PlanInput struct {
	// InForce is set if every daemon that may serve makes reservations; otherwise nothing is reserved.
	InForce bool
	// IsFounding is set if no daemon has ever served, so that no request can have run.
	IsFounding bool
	// EarlierEpochsEnded is set if no daemon can act any more under an epoch in which nothing was reserved. It is read
	// only while some zone's CompleteSince is NeverComplete.
	EarlierEpochsEnded bool
	// NewestEpoch is the newest epoch in which any daemon is known to act. The next epoch is greater, even if the present
	// membership was lost.
	NewestEpoch uint64
	// Candidates are the daemons that may become replicas, in any order.
	Candidates []Candidate
	// HasEnded reports whether a replica certainly grants nothing any more.
	HasEnded func(replica *wire.ReservationReplica) bool
	// IsSynced reports whether a replica holds all reservations that it must know in the present epoch.
	IsSynced func(replica Identity) bool
	// AllowLoss is set once the wait for replicas that are not synced has timed out. A change may then lose reservations
	// that only those replicas could have learned.
	AllowLoss bool
}

// Plan returns the membership that follows the present one, or nil if the present one stays. It depends on its
// arguments only. present may be nil.
func Plan(present *wire.ReservationMembership, input PlanInput) *wire.ReservationMembership {
	planner := planner{present: present, input: input}
	if !input.InForce {
		return planner.suspend()
	}
	next := &wire.ReservationMembership{Epoch: planner.nextEpoch()}
	for _, name := range planner.zoneNames() {
		next.Zones = append(next.Zones, planner.nextZone(name))
	}
	if slices.EqualFunc(next.Zones, present.GetZones(), equalZones) {
		return nil
	}
	for _, zone := range next.Zones {
		if zone.Epoch != next.Epoch || !planner.losesReservations(zone, input.IsSynced) {
			continue
		}
		// If too few replicas remain even when all of them are synced, waiting is pointless.
		isUnavoidable := planner.losesReservations(zone, func(Identity) bool { return true })
		if !isUnavoidable && !input.AllowLoss {
			return nil
		}
		zone.CompleteSince = max(zone.CompleteSince, next.Epoch)
	}
	return next
}

type planner struct {
	present *wire.ReservationMembership
	input   PlanInput
}

// suspend returns a membership that names no replica, so that nothing is reserved, or nil if the present one names
// none.
func (planner planner) suspend() *wire.ReservationMembership {
	if len(planner.present.GetZones()) == 0 {
		return nil
	}
	return &wire.ReservationMembership{Epoch: planner.nextEpoch()}
}

// nextEpoch returns the epoch of the next membership.
func (planner planner) nextEpoch() uint64 {
	return max(planner.present.GetEpoch(), planner.input.NewestEpoch) + 1
}

// zoneNames returns the sorted names of the zones of the next membership. A zone is never removed, since its replicas
// may hold reservations that no other replica does.
func (planner planner) zoneNames() []string {
	names := make([]string, 0, len(planner.present.GetZones())+len(planner.input.Candidates))
	for _, zone := range planner.present.GetZones() {
		names = append(names, zone.Zone)
	}
	for _, candidate := range planner.input.Candidates {
		names = append(names, candidate.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (planner planner) presentZone(name string) *wire.ReservationZone {
	for _, zone := range planner.present.GetZones() {
		if zone.Zone == name {
			return zone
		}
	}
	return nil
}

// nextZone returns a zone with those of its replicas that have not ended, and with candidates in the free places.
func (planner planner) nextZone(name string) *wire.ReservationZone {
	present := planner.presentZone(name)
	next := &wire.ReservationZone{Zone: name, CompleteSince: planner.completeSince(name), Begun: present.GetBegun(),
		Epoch: present.GetEpoch(), PreviousEpoch: present.GetPreviousEpoch(),
		PreviousReplicas: present.GetPreviousReplicas()}
	occupied := map[string]bool{}
	for _, replica := range present.GetReplicas() {
		if !planner.input.HasEnded(replica) {
			next.Replicas = append(next.Replicas, replica)
			occupied[replica.Address] = true
		}
	}
	candidates := slices.Clone(planner.input.Candidates)
	sort.Slice(candidates, func(left, right int) bool { return candidates[left].Address < candidates[right].Address })
	for _, candidate := range candidates {
		if candidate.Zone != name || occupied[candidate.Address] || len(next.Replicas) >= MaximumReplicas {
			continue
		}
		next.Replicas = append(next.Replicas, &wire.ReservationReplica{Address: candidate.Address,
			Incarnation: candidate.Incarnation, IsolationMilliseconds: candidate.IsolationMilliseconds})
	}
	sort.Slice(next.Replicas, func(left, right int) bool {
		return next.Replicas[left].Address < next.Replicas[right].Address
	})
	if !slices.EqualFunc(next.Replicas, present.GetReplicas(), equalReplicas) {
		next.Epoch = planner.nextEpoch()
		next.PreviousEpoch, next.PreviousReplicas = present.GetEpoch(), present.GetReplicas()
	}
	if len(present.GetReplicas()) == 0 && !planner.isFounding() {
		next.Begun = planner.nextEpoch()
	}
	return next
}

// completeSince returns the epoch from which on the replicas of a zone know every reservation, provided that the change
// itself loses none.
func (planner planner) completeSince(name string) uint64 {
	present := planner.presentZone(name)
	switch {
	case present != nil && present.CompleteSince == NeverComplete && planner.input.EarlierEpochsEnded:
		return planner.nextEpoch()
	case present != nil:
		return present.CompleteSince
	case planner.isFounding():
		return 0
	case len(planner.present.GetZones()) == 0:
		// Daemons may still act under a membership that reserved nothing.
		return NeverComplete
	default:
		// No request was reserved in this zone yet.
		return 0
	}
}

// isFounding reports whether the next membership is the first one of a fleet in which no request has run.
func (planner planner) isFounding() bool {
	return planner.present.GetEpoch() == 0 && planner.input.IsFounding
}

// losesReservations reports whether a change may lose reservations: some group of the present zone keeps fewer synced
// replicas than a read quorum.
func (planner planner) losesReservations(next *wire.ReservationZone, isSynced func(replica Identity) bool) bool {
	present := planner.presentZone(next.Zone)
	if present == nil || len(present.Replicas) == 0 {
		return false
	}
	remaining := map[Identity]bool{}
	for _, replica := range next.Replicas {
		identity := identityOf(replica)
		remaining[identity] = isSynced(identity)
	}
	zone := newZone(present)
	for shard := range uint32(ShardCount) {
		group, kept := zone.Group(shard), 0
		for _, replica := range group {
			if remaining[replica] {
				kept++
			}
		}
		if kept < ReadQuorum(len(group)) {
			return true
		}
	}
	return false
}

func equalZones(left, right *wire.ReservationZone) bool { return proto.Equal(left, right) }

func equalReplicas(left, right *wire.ReservationReplica) bool { return proto.Equal(left, right) }
