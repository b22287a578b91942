package modelcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"wardtray/control/node"
	"wardtray/coordination/lease"
	"wardtray/wire"
)

// checker remembers what was seen in one run, and what of it breaks a property. The numbers P1 to P5 are those of
// the package's own documentation.
type checker struct {
	world *world
	// violation is the first property that did not hold.
	violation string

	// documents and views are the digests of all committed documents by sequence, and of all views by epoch.
	documents  map[uint64]uint64
	views      map[uint64]uint64
	newestView uint64
	committed  uint64
	// acknowledgedBefore is the epoch that was acknowledged before the search began, known what was when each view was first seen.
	acknowledgedBefore uint64
	acknowledgedAtView map[uint64]uint64
	// effective are the committed operations and their epochs.
	effective map[string]uint64
	accepted  map[string]acceptedChange
	rejected  map[string]bool
	// copies is on how many disks an operation was at once, at most.
	copies map[string]int
	// servedEpoch is the greatest epoch by which a daemon awarded, reached since when it reaches a core machine.
	servedEpoch    map[string]uint64
	reachableSince map[string]time.Time
	// responded tells which questions have their answer, asked which wait for one and since which epoch was acknowledged.
	responded      map[int]bool
	epochAtRequest map[int]uint64
}

// acceptedChange is a change that was acknowledged.
type acceptedChange struct {
	Base, Epoch uint64
	At          time.Time
}

func newChecker(world *world) *checker {
	return &checker{world: world, documents: map[uint64]uint64{}, views: map[uint64]uint64{}, acknowledgedAtView: map[uint64]uint64{}, effective: map[string]uint64{}, accepted: map[string]acceptedChange{},
		rejected: map[string]bool{}, copies: map[string]int{}, servedEpoch: map[string]uint64{}, reachableSince: map[string]time.Time{}, responded: map[int]bool{}, epochAtRequest: map[int]uint64{}}
}

func (judge *checker) fail(property, format string, values ...any) {
	if judge.violation == "" {
		judge.violation = property + ": " + fmt.Sprintf(format, values...)
	}
}

// addToFingerprint folds in what later checks go by.
func (judge *checker) addToFingerprint(sum *digest, walker *walker) {
	for _, part := range []any{judge.newestView, judge.acknowledgedAtView[judge.newestView], judge.committed, judge.effective, judge.accepted, judge.rejected, judge.servedEpoch, judge.reachableSince, judge.responded, judge.epochAtRequest} {
		sum.add(walker.walk(reflect.ValueOf(part)))
	}
}

// check checks whatever a step of this host can have broken.
func (judge *checker) check(host *host) {
	if !host.core {
		judge.checkDaemon(host)
		return
	}
	judge.checkDocument(host)
	judge.checkView(host)
	judge.checkHistory(host)
	judge.countCopies()
	if host.node.Leading(judge.world.now) {
		judge.checkLeader(host)
	}
}

func (judge *checker) checkDocument(host *host) {
	document := host.node.Chain().Committed()
	if document.Sequence == 0 || document == host.document {
		return
	}
	host.document = document
	sum := messageDigest(document)
	if known, found := judge.documents[document.Sequence]; found {
		if known != sum {
			judge.fail("agreement", "%s holds another document %d than others", host.name, document.Sequence)
		}
		return
	}
	judge.documents[document.Sequence] = sum
	judge.committed = max(judge.committed, document.Sequence)
	entered := map[string]bool{}
	for _, outcome := range document.Outcomes {
		if entered[outcome.Operation] {
			judge.fail("P5", "%s is in effect twice at %s", outcome.Operation, host.name)
		}
		entered[outcome.Operation] = true
		if judge.rejected[outcome.Operation] {
			judge.fail("P2", "%s was refused and is in effect at %s", outcome.Operation, host.name)
		}
		if epoch, found := judge.effective[outcome.Operation]; found && epoch != outcome.SpecEpoch {
			judge.fail("P2", "%s is epoch %d and %d", outcome.Operation, epoch, outcome.SpecEpoch)
		}
		judge.effective[outcome.Operation] = outcome.SpecEpoch
	}
}

func (judge *checker) checkView(host *host) {
	view := host.node.View()
	if view.Epoch == 0 || view == host.view {
		return
	}
	host.view = view
	sum := messageDigest(view)
	if known, found := judge.views[view.Epoch]; found && known != sum {
		judge.fail("agreement", "%s has another view %d than others", host.name, view.Epoch)
	}
	judge.views[view.Epoch] = sum
	if _, found := judge.acknowledgedAtView[view.Epoch]; !found {
		judge.acknowledgedAtView[view.Epoch] = judge.acknowledged()
		judge.checkJoiners(view)
	}
	judge.newestView = max(judge.newestView, view.Epoch)
}

// checkJoiners checks that whoever joins by a view has learned all that was acknowledged before the last view.
func (judge *checker) checkJoiners(view *wire.View) {
	least := judge.acknowledgedAtView[view.Epoch-1]
	for _, host := range judge.world.hosts {
		if !host.core || !host.up || host.frozen || host.node.Chain().Inside() {
			continue
		}
		for _, member := range view.Chain {
			if epoch := host.node.Chain().Latest().SpecEpoch; member.Id == host.node.Self().Id && epoch < least {
				judge.fail("P4", "%s joins by view %d with epoch %d, %d was acknowledged before view %d", host.name, view.Epoch, epoch, least, view.Epoch-1)
			}
		}
	}
}

// checkHistory checks that no operation was entered twice.
func (judge *checker) checkHistory(host *host) {
	if len(host.node.Chain().Pending()) == 0 {
		return
	}
	entered := map[string]bool{}
	for _, outcome := range host.node.Chain().Latest().Outcomes {
		if entered[outcome.Operation] {
			judge.fail("P5", "%s was entered twice at %s", outcome.Operation, host.name)
		}
		entered[outcome.Operation] = true
	}
}

// checkLeader checks that one machine at most leads, and with all that was committed.
func (judge *checker) checkLeader(host *host) {
	for _, other := range judge.world.hosts {
		if other != host && other.core && other.up && !other.frozen && other.node.Leading(judge.world.now) {
			judge.fail("P1", "%s and %s lead at once", host.name, other.name)
		}
	}
	chain := host.node.Chain()
	if latest := chain.Latest().Sequence; latest < judge.committed {
		judge.fail("P4", "%s leads with history up to %d, %d is committed", host.name, latest, judge.committed)
	}
	if epoch := chain.Committed().SpecEpoch; epoch < judge.acknowledged() {
		judge.fail("P4", "%s leads by epoch %d, %d was acknowledged", host.name, epoch, judge.acknowledged())
	}
}

// checkLearnResponse checks what a machine is about to teach.
func (judge *checker) checkLearnResponse(host *host, envelope *wire.Envelope) {
	answer := envelope.GetLearnResponse()
	if answer == nil || answer.View < judge.newestView {
		return
	}
	if answer.Document.GetSpecEpoch() < judge.acknowledged() {
		judge.fail("P4", "%s teaches epoch %d in view %d, %d was acknowledged", host.name, answer.Document.GetSpecEpoch(), answer.View, judge.acknowledged())
	}
}

// acknowledged gives the greatest epoch that was acknowledged, also before the search.
func (judge *checker) acknowledged() uint64 {
	greatest := judge.acknowledgedBefore
	for _, one := range judge.accepted {
		greatest = max(greatest, one.Epoch)
	}
	return greatest
}

// countCopies notes on how many disks each operation is.
func (judge *checker) countCopies() {
	for place, question := range judge.world.scenario.Requests {
		if !judge.world.sent[place] {
			continue
		}
		copies := 0
		for _, host := range judge.world.hosts {
			if host.core && host.disk.operations[question.Operation] {
				copies++
			}
		}
		judge.copies[question.Operation] = max(judge.copies[question.Operation], copies)
	}
}

// checkDaemon checks by what a daemon would award work at this moment.
func (judge *checker) checkDaemon(host *host) {
	now := judge.world.now
	judge.recordReachability(host)
	snapshot := host.controller.Snapshot(now)
	if !now.Before(snapshot.Until) {
		return
	}
	if snapshot.SpecEpoch < judge.servedEpoch[host.name] {
		judge.fail("P1", "%s slipped back from epoch %d to %d", host.name, judge.servedEpoch[host.name], snapshot.SpecEpoch)
	}
	judge.servedEpoch[host.name] = snapshot.SpecEpoch
	if reached := judge.reachableSince[host.name]; !reached.IsZero() {
		judge.checkServedEpoch(host, snapshot.SpecEpoch, reached)
	}
}

// checkServedEpoch checks that a daemon that reaches a core machine does not award by less than was acknowledged. A change is
// acknowledged only when nobody can go by an older one any more; only a daemon that reached none for a while has a
// lease's time from when it reaches one again.
func (judge *checker) checkServedEpoch(host *host, epoch uint64, reached time.Time) {
	for _, operation := range sortedKeys(judge.accepted) {
		since := judge.accepted[operation].At
		if known := reached.Add(lease.DaemonTerm + tickLength); since.Before(known) {
			since = known
		}
		if late := judge.world.now.Sub(since); judge.accepted[operation].Epoch > epoch && late >= 0 {
			judge.fail("P1", "%s awards under epoch %d, %v after %s was acknowledged as %d", host.name, epoch, late, operation, judge.accepted[operation].Epoch)
		}
	}
}

// recordReachability notes since when a daemon reaches at least one core machine. One that reaches none may go on by what it
// has for as long as it is told to. A machine that began less than startingBound ago can't tell whether there is a head
// and counts as none, as docs/control.md says under "Without any core".
func (judge *checker) recordReachability(daemon *host) {
	for _, host := range judge.world.hosts {
		if host.core && host.up && !host.frozen && judge.world.now.Sub(host.bootedAt) >= startupTime && !judge.world.disconnected(daemon.name, host.name) {
			if judge.reachableSince[daemon.name].IsZero() {
				judge.reachableSince[daemon.name] = judge.world.now
			}
			return
		}
	}
	delete(judge.reachableSince, daemon.name)
}

// checkResponse takes an operator's answer.
func (judge *checker) checkResponse(place int, status int, body []byte) {
	question := judge.world.scenario.Requests[place]
	if judge.responded[place] {
		judge.fail("P5", "question %d was answered twice", place)
	}
	judge.responded[place] = true
	least := judge.epochAtRequest[place]
	delete(judge.epochAtRequest, place)
	reply := node.Reply{}
	if err := json.Unmarshal(body, &reply); err != nil {
		judge.fail("P5", "question %d got an answer that is no JSON", place)
		return
	}
	if reply.Operation != question.Operation {
		judge.fail("P5", "question %d, about %q, got an answer about %q", place, question.Operation, reply.Operation)
	}
	if question.Verb == "get" {
		if status == 200 && reply.Epoch < least {
			judge.fail("P1", "a read gave epoch %d, %d had been acknowledged before it was asked", reply.Epoch, least)
		}
		return
	}
	judge.checkChangeResponse(question, status, reply)
}

// checkChangeResponse takes the answer to a change. 503 and 504 of an operation that was sent more than once say nothing of its
// other copies; 504 says nothing at all.
func (judge *checker) checkChangeResponse(question Request, status int, reply node.Reply) {
	operation := question.Operation
	if status == 200 {
		judge.checkAccepted(question, reply.Epoch)
		return
	}
	if status == 504 || status == 503 && judge.timesSent(operation) > 1 {
		return
	}
	judge.rejected[operation] = true
	if _, found := judge.accepted[operation]; found {
		judge.fail("P2", "%s was acknowledged and then refused with %d", operation, status)
	}
	if _, found := judge.effective[operation]; found {
		judge.fail("P2", "%s was refused with %d and is in effect", operation, status)
	}
}

func (judge *checker) checkAccepted(question Request, epoch uint64) {
	operation := question.Operation
	if previous, found := judge.accepted[operation]; found {
		if previous.Epoch != epoch {
			judge.fail("P2", "%s was acknowledged as epoch %d and %d", operation, previous.Epoch, epoch)
		}
		return
	}
	if judge.rejected[operation] {
		judge.fail("P2", "%s was refused and then acknowledged", operation)
	}
	if known, found := judge.effective[operation]; !found || known != epoch {
		judge.fail("P3", "%s was acknowledged as epoch %d and is committed as %d", operation, epoch, known)
	}
	for _, other := range sortedKeys(judge.accepted) {
		if judge.accepted[other].Epoch == epoch || judge.accepted[other].Base == question.Base {
			judge.fail("P2", "%s and %s were both acknowledged on base %d", other, operation, question.Base)
		}
	}
	if judge.copies[operation] < toleratedFaults+1 {
		judge.fail("P3", "%s was acknowledged with %d synced copies", operation, judge.copies[operation])
	}
	judge.accepted[operation] = acceptedChange{Base: question.Base, Epoch: epoch, At: judge.world.now}
	for _, host := range judge.world.hosts {
		if !host.core && host.up && !host.frozen {
			judge.checkDaemon(host)
		}
	}
}

// timesSent tells how often an operation was sent, or will be.
func (judge *checker) timesSent(operation string) int {
	count := 0
	for _, question := range judge.world.scenario.Requests {
		if question.Operation == operation {
			count++
		}
	}
	return count
}
