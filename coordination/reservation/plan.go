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
	// IsolationMilliseconds is for how long it may go on serving while it reaches no control machine.
	IsolationMilliseconds uint32
}

// Facts are what the next membership is derived from.
type Facts struct {
	// InForce says that every daemon which may serve makes reservations; otherwise nothing is reserved.
	InForce bool
	// IsFounding says that no daemon has ever served, so that nothing can have run.
	IsFounding bool
	// IsFormed says that no daemon can act any more under an epoch in which nothing was reserved. It is asked only
	// while some zone is complete since Never.
	IsFormed bool
	// NewestEpoch is the newest epoch that any daemon is known to act under. The next one is above it, also where the
	// present membership was lost.
	NewestEpoch uint64
	// Candidates are the daemons that may become replicas, in any order.
	Candidates []Candidate
	// HasEnded reports whether a replica certainly grants nothing any more.
	HasEnded func(replica *wire.ReservationReplica) bool
	// IsSynced reports whether a replica holds all that it must know in the present epoch.
	IsSynced func(replica Identity) bool
	// MayLose says that replicas which are not synced were waited for long enough, so that a change may be made that
	// loses what they alone could have learned.
	MayLose bool
}

// Plan returns the membership that follows the present one; nil: the present one stays. It is a function of its
// arguments. The present one may be nil.
func Plan(present *wire.ReservationMembership, facts Facts) *wire.ReservationMembership {
	planner := planner{present: present, facts: facts}
	if !facts.InForce {
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
		if zone.Epoch != next.Epoch || !planner.loses(zone, facts.IsSynced) {
			continue
		}
		// Where too few would be left even if all of them were synced there is nothing to wait for.
		isUnavoidable := planner.loses(zone, func(Identity) bool { return true })
		if !isUnavoidable && !facts.MayLose {
			return nil
		}
		zone.CompleteSince = max(zone.CompleteSince, next.Epoch)
	}
	return next
}

type planner struct {
	present *wire.ReservationMembership
	facts   Facts
}

// suspend returns a membership that names no replica, so that nothing is reserved; nil if that is so already.
func (planner planner) suspend() *wire.ReservationMembership {
	if len(planner.present.GetZones()) == 0 {
		return nil
	}
	return &wire.ReservationMembership{Epoch: planner.nextEpoch()}
}

// nextEpoch returns the epoch of the next membership.
func (planner planner) nextEpoch() uint64 {
	return max(planner.present.GetEpoch(), planner.facts.NewestEpoch) + 1
}

// zoneNames returns the zones of the next membership in their order. A zone stays for good, since its replicas may hold
// what nobody else does.
func (planner planner) zoneNames() []string {
	names := make([]string, 0, len(planner.present.GetZones())+len(planner.facts.Candidates))
	for _, zone := range planner.present.GetZones() {
		names = append(names, zone.Zone)
	}
	for _, candidate := range planner.facts.Candidates {
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

// nextZone returns a zone with those of its replicas that have not ended, and candidates in the places that are left.
func (planner planner) nextZone(name string) *wire.ReservationZone {
	present := planner.presentZone(name)
	next := &wire.ReservationZone{Zone: name, CompleteSince: planner.completeSince(name), Begun: present.GetBegun(),
		Epoch: present.GetEpoch(), PreviousEpoch: present.GetPreviousEpoch(),
		PreviousReplicas: present.GetPreviousReplicas()}
	held := map[string]bool{}
	for _, replica := range present.GetReplicas() {
		if !planner.facts.HasEnded(replica) {
			next.Replicas = append(next.Replicas, replica)
			held[replica.Address] = true
		}
	}
	candidates := slices.Clone(planner.facts.Candidates)
	sort.Slice(candidates, func(left, right int) bool { return candidates[left].Address < candidates[right].Address })
	for _, candidate := range candidates {
		if candidate.Zone != name || held[candidate.Address] || len(next.Replicas) >= MaximumReplicas {
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

// completeSince returns from which epoch on a zone knows everything, unless the change itself loses something.
func (planner planner) completeSince(name string) uint64 {
	present := planner.presentZone(name)
	switch {
	case present != nil && present.CompleteSince == Never && planner.facts.IsFormed:
		return planner.nextEpoch()
	case present != nil:
		return present.CompleteSince
	case planner.isFounding():
		return 0
	case len(planner.present.GetZones()) == 0:
		// Daemons may still act under a membership in which nothing was reserved.
		return Never
	default:
		// Nothing was reserved in this zone yet.
		return 0
	}
}

// isFounding reports whether the next membership is the first of a fleet in which nothing has run.
func (planner planner) isFounding() bool {
	return planner.present.GetEpoch() == 0 && planner.facts.IsFounding
}

// loses reports whether some group of the present loses with a change what it alone may hold: too few of its replicas
// remain that are synced.
func (planner planner) loses(next *wire.ReservationZone, isSynced func(replica Identity) bool) bool {
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
