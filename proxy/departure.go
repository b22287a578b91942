package proxy

import (
	"context"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

// How a course that was relayed ended.
const (
	endDone = "done"
	endGone = string(apierror.RequesterGone)
)

// begin makes the course of a request that has been read whole, and watches the requester's connection from then on.
//
// Why one context for all waits: whatever the course waits for, the requester's leaving ends it at once.
func (yard *Yard) begin(requester netio.Requester) *Course {
	ctx, leave := context.WithCancel(context.Background())
	course := &Course{yard: yard, requester: requester, state: reading, begun: yard.World.Now(), ctx: ctx, leave: leave}
	yard.InFlight.Add(1)
	course.unwatch = requester.Watch(leave)
	return course
}

// close lets go of the requester's connection, on which the next request may come now.
func (course *Course) close() {
	course.unwatch()
	course.leave()
	course.yard.InFlight.Add(-1)
}

// left tells whether the requester is known to have left.
func (course *Course) left() bool { return course.ctx.Err() != nil }

// errLeft is the fault of a request that nobody waits for.
func errLeft() error {
	return apierror.New(apierror.RequesterGone, "the requester has closed its connection")
}

// awaited looks at the requester's connection itself, directly before bytes go out.
//
// Why not the watch alone: after a freeze, or where a request was read behind its requester's close, the course may be
// here before the watch has been told.
func (course *Course) awaited() bool {
	if !course.left() && course.requester.Left() {
		course.leave()
	}
	return !course.left()
}

// enter puts the request into its desk's queue and waits for the step; it tells whether there is one. A request whose
// requester leaves gives up its place.
func (course *Course) enter() bool {
	course.desk.Enter(course.now(), course.ticket)
	step, decided := course.yard.Await(course.ctx, course.ticket.Steps)
	if !decided {
		if course.desk.Cancel(course.ticket) {
			return false
		}
		// The desk was quicker, and the places that it gave have to be given back.
		step = <-course.ticket.Steps
	}
	course.step = step
	return true
}

// returnUnused puts back a connection over which nothing was sent.
func (course *Course) returnUnused() {
	course.yard.Links.Keep(course.connection, 0)
	course.connection = nil
}

// bind has the run end with the requester, unless it must run at most once and its outcome is worth knowing.
func (course *Course) bind() {
	if course.lane.Cancels() {
		course.connection.Bind(course.ctx)
	}
}

// cutOff tells whether the requester's leaving has ended a write in the middle. The runner may have begun on what it
// got, and over a connection that is closed it can't say so.
func (course *Course) cutOff(written int) bool {
	return written > 0 && course.left() && course.lane.Cancels()
}

// blame has the runner left alone for a while, unless it was cut off because nobody waited for it any more.
func (course *Course) blame(reason string) {
	if !course.left() {
		course.yard.Book.Failed(course.now(), course.step.Runner.ID, reason)
	}
}
