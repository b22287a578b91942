package proxy

import (
	"wardtray/balancer/scheduler"
	"wardtray/proxy/dedup"
)

// ranWords are what is said of the work of a request that was sent before.
var ranWords = map[dedup.State]string{dedup.Ran: "ran", dedup.Running: scheduler.Unknown, dedup.Unknown: scheduler.Unknown, dedup.Elsewhere: scheduler.Unknown}

// take notes a request that must run at most once, before anything else can be said of it; it gives what
// is known if it was sent before.
func (course *Course) take() dedup.State {
	if course.request.Fresh {
		return ""
	}
	key := dedup.KeyOf(course.request.Lane, course.request.ID)
	if course.said = course.yard.Once.Look(key); course.said != "" {
		return course.said
	}
	book := course.yard.Snapshot().Book
	if book == nil {
		return ""
	}
	if lane := laneOf(book, course.request); lane == nil || lane.Repeatable {
		return ""
	}
	known, fresh := course.yard.Once.Begin(course.now(), key)
	if fresh {
		course.key = &key
	}
	course.said = known
	return known
}

// settle notes how a request that must run at most once ended.
func (course *Course) settle(state dedup.State) {
	if course.key == nil {
		return
	}
	if state != "" {
		course.yard.Once.End(course.now(), *course.key, state)
		return
	}
	// What surely did not run may be sent again, here and elsewhere in the zone.
	course.yard.Once.Drop(*course.key)
	if course.told {
		course.yard.Tell(*course.key, true)
	}
}
