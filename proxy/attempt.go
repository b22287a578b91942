package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
)

const (
	// writeBound is how long the system may take to take a request over.
	writeBound = 2 * time.Second
	// recheckAfter is how old the last check of a decision may be when the bytes go out: after that the process was
	// frozen, or waited, and everything is checked anew.
	recheckAfter = 5 * time.Millisecond
	// earlyAnswerBound is how long an answer is waited for that the runner gave before it had the whole request.
	earlyAnswerBound = 20 * time.Millisecond
)

// allowed looks at the newest spec, the newest list and the deadline once more, at the moment before bytes go out.
func (course *Course) allowed(identity connpool.Identity) bool {
	snapshot, now := course.yard.Snapshot(), course.now()
	course.checkedAt = now
	if !now.Before(snapshot.Until) || snapshot.Book == nil || course.over() {
		return false
	}
	lane := laneOf(snapshot.Book, course.request)
	if lane == nil || lane.Name != course.lane.Name {
		return false
	}
	pool := poolOf(snapshot.Book, lane, course.request)
	if pool == nil || pool.Name != course.pool.Name || pool.Model != "" && pool.Model != course.request.Model || !pool.Serves(course.request.Adapter) {
		return false
	}
	runner, known := course.yard.Book.One(now, course.step.Runner.ID, course.yard.Daemons())
	if !known || runner.Reason == load.ReasonLeaving || !Permits(snapshot.Book, pool, runner) {
		return false
	}
	if !course.relayed && course.identify(snapshot.Book, lane) != nil {
		return false
	}
	course.epoch = snapshot.SpecEpoch
	// Where runners are not asked who they are, every request states whom it means, and another one turns it away.
	if course.yard.Speech.Identity() == "" {
		return true
	}
	return identity.RunnerID == runner.ID && pool.Allows(identity.Service) && identity.Model == pool.Model && identity.Weights == pool.Weights
}

// Permits tells whether a spec lets a pool use a runner.
func Permits(book *config.Book, pool *config.Pool, runner load.Runner) bool {
	return pool.Allows(runner.Service) && book.Open(runner.Zone)
}

// pass sends the request to the runner awarded and reads up to the first event. It gives "" when the
// answer may be relayed, and otherwise how the attempt ended.
func (course *Course) pass() scheduler.End {
	runner := course.step.Runner
	connection, err := course.yard.Links.TakeWithin(course.ctx, runner.ID, runner.Address, course.remaining())
	if err != nil {
		course.blame(string(apierror.Of(err).Kind))
		course.countFree()
		return scheduler.NotSent
	}
	course.connection = connection
	if !course.allowed(connection.Identity) {
		if course.yard.Speech.Identity() != "" && (!course.pool.Allows(connection.Identity.Service) || connection.Identity.Weights != course.pool.Weights) {
			course.yard.Book.Failed(course.now(), runner.ID, "serves something else than listed")
		}
		course.countFree()
		return scheduler.NotSent
	}
	if !course.awaited() {
		course.returnUnused()
		return scheduler.NotSent
	}
	if !course.mayRepeat() {
		return scheduler.NotSent
	}
	if end := course.send(); end != "" {
		course.countFree()
		return end
	}
	if end := course.answer(); end != "" {
		return end
	}
	course.to(relaying)
	return ""
}

func (course *Course) countFree() {
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.FreeAttempts++ })
}

// mayRepeat takes a second or later send out of the budget.
func (course *Course) mayRepeat() bool {
	budget := course.yard.budget(course.pool.Name)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if course.sends == 0 {
		// An attempt that ends before its last byte is no send, and its request counts once.
		if !course.counted {
			course.counted = true
			budget.budget.Request(course.now())
		}
		return true
	}
	if !budget.budget.Repeat(course.now()) {
		// Without budget no later attempt can go out either, so the final answer is given now.
		course.attempts = maximumAttempts
		return false
	}
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.Repeats++ })
	return true
}

// run is this attempt in the words of a speech.
func (course *Course) run() codec.Run {
	return codec.Run{Runner: course.step.Runner, Daemon: course.yard.Name, Epoch: course.epoch, Left: course.remaining(), After: course.after,
		Urgency: course.step.Urgency, Weights: course.pool.Weights, Tenant: course.tenantName()}
}

// send writes the request out. A long one takes its time on the way, so that the last look comes again
// before its last part: without that the runner has no request. It gives "" when the whole went out.
func (course *Course) send() scheduler.End {
	course.to(sent)
	course.sentAt = course.now()
	content := course.yard.Speech.Outgoing(course.request, course.run())
	if course.key != nil && !course.told {
		course.told = true
		course.yard.Tell(*course.key, false)
	}
	course.bind()
	written := course.write(content)
	course.partial = written < len(content)
	if course.partial && course.cutOff(written) {
		return scheduler.Doubt
	}
	if course.partial && !course.answeredEarly() {
		return scheduler.NotSent
	}
	course.sends++
	course.connection.Sent(course.lane.Repeatable && course.mayTry())
	course.desk.Sent(course.sentAt, course.ticket, course.step)
	return ""
}

// write gives the bytes of a request to the system and tells how many of them that took.
func (course *Course) write(content []byte) int {
	if course.now().Sub(course.checkedAt) >= recheckAfter && !course.recheck() {
		return 0
	}
	bound := writeBound
	if left := course.remaining(); left > 0 {
		bound = min(bound, left)
	}
	_ = course.connection.SetDeadline(course.now().Add(bound))
	before := 0
	if len(content) > 4*lastPart {
		written, err := course.connection.Write(content[:len(content)-lastPart])
		if err != nil || !course.allowed(course.connection.Identity) || !course.awaited() {
			return written
		}
		before = written
	}
	// What was not even taken over whole by our own system no runner can have read whole. After that a failure
	// to write tells nothing of what the runner got, and reading the answer decides.
	written, _ := course.connection.Write(content[before:])
	return before + written
}

// recheck tells whether the decision still holds after a pause between it and the write: the spec, the runner and
// the deadline are as they were, the requester is still there, and the runner has neither closed the connection nor
// sent anything over it.
func (course *Course) recheck() bool {
	return course.allowed(course.connection.Identity) && course.connection.Quiet() && course.awaited()
}

// answeredEarly tells whether the runner has answered a request that it did not get whole. It may have run what it
// got, so that its answer decides, and not the failure to write.
func (course *Course) answeredEarly() bool {
	_ = course.connection.SetDeadline(course.now().Add(earlyAnswerBound))
	_, err := course.connection.Reader.Peek(1)
	return err == nil
}
