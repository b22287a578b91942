package histories

import (
	"slices"
	"sort"
	"time"

	"wardtray/config"
)

// specVersion is a spec with the times at which it was sent and acknowledged; acknowledged is zero if its operator got
// no answer.
type specVersion struct {
	catalog            *config.Catalog
	sent, acknowledged time.Time
}

// specTimeline holds every spec that was ever in effect, in the order of epochs.
type specTimeline struct {
	versions []specVersion
	// settledCount is the number of settled changes from which the versions were built; -1 before the first build.
	settledCount int
}

func newSpecTimeline() specTimeline { return specTimeline{settledCount: -1} }

// settledRequest is a change that took effect, and the epoch that was assigned to it.
type settledRequest struct {
	*OperatorRequest
	epoch uint64
}

// refresh rebuilds the versions if the number of settled changes differs. known holds the operations in effect and
// their epochs, including those of changes that were not acknowledged.
func (timeline *specTimeline) refresh(requests []*OperatorRequest, known map[string]uint64) {
	settled := len(known)
	for _, request := range requests {
		if request.Outcome == outcomeAccepted {
			settled++
		}
	}
	if settled == timeline.settledCount {
		return
	}
	timeline.settledCount = settled
	changes := settledRequests(requests, known)
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

// settledRequests returns the changes that took effect, in the order of their epochs.
func settledRequests(requests []*OperatorRequest, known map[string]uint64) []settledRequest {
	var settled []settledRequest
	for _, request := range requests {
		epoch, found := known[request.Operation]
		if request.Outcome == outcomeAccepted {
			epoch, found = request.Epoch, true
		}
		if found && request.changesSpec() {
			settled = append(settled, settledRequest{request, epoch})
		}
	}
	sort.SliceStable(settled, func(left, right int) bool { return settled[left].epoch < settled[right].epoch })
	return settled
}

// changesSpec reports whether the request is a change rather than a query.
func (request *OperatorRequest) changesSpec() bool {
	return request.Verb != verbGet && request.Verb != verbOperation
}

// applyTo returns the spec after the change. It does not modify its argument.
func (request *OperatorRequest) applyTo(spec *config.Spec) *config.Spec {
	if request.Verb == verbApply && request.Spec != nil {
		return request.Spec
	}
	if request.Change != nil {
		changed, _ := request.Change.Apply(spec)
		return changed
	}
	toggled := *spec
	toggled.Zones = slices.Clone(spec.Zones)
	for index := range toggled.Zones {
		if toggled.Zones[index].Name == request.Zone {
			toggled.Zones[index].Closed = request.Verb == verbClose
		}
	}
	return &toggled
}

// between returns the specs under which daemons may have acted at some moment of a span of time. The oldest of them is
// the last spec that was acknowledged more than bound before the span begins; the others are all later specs that were
// sent by the end of the span.
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

// outdatedFor returns the time for which work had not been permitted at a moment: the time since the first
// acknowledgement of a spec that is later than the last spec that permits the work; 0 if there is none.
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
