package histories

import (
	"slices"
	"sort"
	"time"

	"wardtray/config"
)

// specVersion is a spec, and when it was sent and acknowledged; the latter is zero where nobody was told.
type specVersion struct {
	catalog            *config.Catalog
	sent, acknowledged time.Time
}

// specTimeline has every spec that was ever in effect, in the order of epochs.
type specTimeline struct {
	versions []specVersion
	// changesSeen is how many changes were settled when the versions were made; -1 before.
	changesSeen int
}

func newSpecTimeline() specTimeline { return specTimeline{changesSeen: -1} }

// settledOrder is an order that took effect, and the epoch that it was given.
type settledOrder struct {
	*Order
	epoch uint64
}

// refresh makes the versions anew if more changes are settled than before. known are the operations in effect and their
// epochs, also of orders that were not acknowledged.
func (timeline *specTimeline) refresh(orders []*Order, known map[string]uint64) {
	settled := len(known)
	for _, order := range orders {
		if order.Outcome == outcomeAccepted {
			settled++
		}
	}
	if settled == timeline.changesSeen {
		return
	}
	timeline.changesSeen = settled
	changes := settledOrders(orders, known)
	timeline.versions = make([]specVersion, 0, len(changes))
	spec := &config.Spec{}
	for _, change := range changes {
		spec = change.applyTo(spec)
		version := specVersion{catalog: config.NewCatalog(spec), sent: change.Sent}
		if change.Outcome == outcomeAccepted {
			version.acknowledged = change.Got
		}
		timeline.versions = append(timeline.versions, version)
	}
}

// settledOrders returns the changes that took effect, in the order of epochs.
func settledOrders(orders []*Order, known map[string]uint64) []settledOrder {
	var settled []settledOrder
	for _, order := range orders {
		epoch, found := known[order.Operation]
		if order.Outcome == outcomeAccepted {
			epoch, found = order.Epoch, true
		}
		if found && order.changesSpec() {
			settled = append(settled, settledOrder{order, epoch})
		}
	}
	sort.SliceStable(settled, func(left, right int) bool { return settled[left].epoch < settled[right].epoch })
	return settled
}

// changesSpec reports whether the order asks for a change, rather than for what is.
func (order *Order) changesSpec() bool { return order.Verb != verbGet && order.Verb != verbOperation }

// applyTo returns what the order makes of a spec, which stays as it is.
func (order *Order) applyTo(spec *config.Spec) *config.Spec {
	if order.Verb == verbApply && order.Spec != nil {
		return order.Spec
	}
	if order.Change != nil {
		changed, _ := order.Change.Apply(spec)
		return changed
	}
	toggled := *spec
	toggled.Zones = slices.Clone(spec.Zones)
	for index := range toggled.Zones {
		if toggled.Zones[index].Name == order.Zone {
			toggled.Zones[index].Closed = order.Verb == verbClose
		}
	}
	return &toggled
}

// between returns the specs by which work may have gone at some moment of a span of time: those sent by its end, from
// the last one on that was acknowledged longer than a bound before its begin.
func (timeline *specTimeline) between(from, until time.Time, bound time.Duration) []specVersion {
	oldest := 0
	for index, version := range timeline.versions {
		if !version.acknowledged.IsZero() && from.Sub(version.acknowledged) > bound {
			oldest = index
		}
	}
	var possible []specVersion
	for _, version := range timeline.versions[oldest:] {
		if !version.sent.After(until) {
			possible = append(possible, version)
		}
	}
	return possible
}

// outdatedFor returns for how long work at a moment was against the acknowledged specs: the time since the first
// acknowledgement of those after the last spec that permits it.
func (timeline *specTimeline) outdatedFor(at time.Time, permits func(catalog *config.Catalog) bool) time.Duration {
	longest := time.Duration(0)
	for _, version := range slices.Backward(timeline.versions) {
		if permits(version.catalog) && !version.sent.After(at) {
			break
		}
		if !version.acknowledged.IsZero() && version.acknowledged.Before(at) {
			longest = max(longest, at.Sub(version.acknowledged))
		}
	}
	return longest
}
