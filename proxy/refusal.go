package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/dataplane/controller"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

const (
	// elsewhereAfter is when a request that a stopping daemon does not take may come to another.
	elsewhereAfter = 20 * time.Millisecond
	// usualStart is within what time of its start a daemon is sure of its spec.
	usualStart     = 800 * time.Millisecond
	longestSilence = 10 * time.Second
)

// comeback reckons when another try may help.
func (course *Course) comeback(kind apierror.Kind) time.Duration {
	reckons := map[apierror.Kind]func() time.Duration{
		// A silence lasts, as far as can be known, about as long again as it has lasted.
		apierror.NotServing: func() time.Duration {
			// Another daemon is there at once for what comes to one that stops.
			if course.yard.Draining.Load() {
				return elsewhereAfter
			}
			until := course.yard.Snapshot().Until
			// One that has just begun is sure of its spec within a moment; there is no silence to reckon by yet.
			if until.Before(course.yard.Begun) {
				return max(controller.AskEvery, usualStart-course.now().Sub(course.yard.Begun))
			}
			return min(longestSilence, max(controller.AskEvery, course.now().Sub(until)))
		},
		apierror.NoRunner:       func() time.Duration { return course.desk.Comeback(course.now(), course.ticket) },
		apierror.OutcomeUnknown: func() time.Duration { return course.desk.Comeback(course.now(), course.ticket) },
	}
	reckon := reckons[kind]
	if reckon == nil || kind == apierror.OutcomeUnknown && !course.lane.Repeatable {
		return 0
	}
	return reckon()
}

// ran keeps a doubt once there is one, and what is known of the request from before.
func (course *Course) ran(said string) string {
	if word := ranWords[course.said]; word != "" {
		return word
	}
	// What was relayed did run.
	if course.doubted || course.relayed {
		return scheduler.Unknown
	}
	return said
}

// refusedStep counts and tells what the desk decided.
func (course *Course) refusedStep() *codec.Refusal {
	late := course.now().Sub(course.begun) > 50*time.Millisecond
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) {
		if late {
			lane.Late++
		} else {
			lane.Early++
		}
	})
	return course.refusal(course.step.Fault, course.step.Reason, scheduler.DidNotRun, course.step.RetryAfter)
}

// refusalOf tells what a fault means for the requester.
func (course *Course) refusalOf(err error) *codec.Refusal {
	found := apierror.Of(err)
	return course.refusal(found.Kind, found.Detail, scheduler.DidNotRun, course.comeback(found.Kind))
}

// refusal gives what to tell of a request that gets no stream, or no more of one.
func (course *Course) refusal(kind apierror.Kind, detail, ran string, retry time.Duration) *codec.Refusal {
	ran = course.ran(ran)
	// Whatever ended this attempt, an earlier one may have run, and that is what the requester must know.
	if course.doubted && kind != apierror.RequesterGone {
		kind = apierror.OutcomeUnknown
	}
	if course.relayed && kind != apierror.RequesterGone {
		kind, retry = apierror.RunFailed, 0
	}
	return &codec.Refusal{Kind: kind, Detail: detail, Ran: ran, Retry: retry, DidNotRun: ran == scheduler.DidNotRun, Late: course.over()}
}

// refuse ends a course without a stream.
func (course *Course) refuse(refusal codec.Refusal) {
	course.to(ended)
	if refusal.DidNotRun {
		course.uncharge()
	}
	course.settle(map[bool]dedup.State{true: "", false: dedup.Unknown}[refusal.DidNotRun])
	if course.desk != nil {
		course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.Ends[string(refusal.Kind)]++ })
	}
	if course.left() {
		course.requester.Last()
	}
	course.yard.Speech.Refuse(course.requester, course.request, refusal)
	course.close()
}
