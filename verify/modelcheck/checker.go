package modelcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"wardtray/control/proposal"
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
	// acknowledgedBefore is the epoch that was acknowledged before the search began, known what was when each view was
	// first seen.
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
	// responded tells which questions have their answer, asked which wait for one and since which epoch was
	// acknowledged.
	responded      map[int]bool
	epochAtRequest map[int]uint64
}

// acceptedChange is a change that was acknowledged.
type acceptedChange struct {
	Base, Epoch uint64
	At          time.Time
}

func newChecker(world *world) *checker {
	return &checker{
		world:              world,
		documents:          map[uint64]uint64{},
		views:              map[uint64]uint64{},
		acknowledgedAtView: map[uint64]uint64{},
		effective:          map[string]uint64{},
		accepted:           map[string]acceptedChange{},
		rejected:           map[string]bool{},
		copies:             map[string]int{},
		servedEpoch:        map[string]uint64{},
		reachableSince:     map[string]time.Time{},
		responded:          map[int]bool{},
		epochAtRequest:     map[int]uint64{},
	}
}

func (checker *checker) fail(property, format string, values ...any) {
	if checker.violation == "" {
		checker.violation = property + ": " + fmt.Sprintf(format, values...)
	}
}

// addToFingerprint folds in what later checks go by.
func (checker *checker) addToFingerprint(hash *digest, walker *walker) {
	parts := []any{
		checker.newestView, checker.acknowledgedAtView[checker.newestView], checker.committed, checker.effective,
		checker.accepted, checker.rejected, checker.servedEpoch, checker.reachableSince, checker.responded,
		checker.epochAtRequest,
	}
	for _, part := range parts {
		hash.add(walker.walk(reflect.ValueOf(part)))
	}
}

// check checks whatever a step of this host can have broken.
func (checker *checker) check(host *host) {
	if !host.core {
		checker.checkDaemon(host)
		return
	}
	checker.checkDocument(host)
	checker.checkView(host)
	checker.checkHistory(host)
	checker.countCopies()
	if host.node.IsLeading(checker.world.now) {
		checker.checkLeader(host)
	}
}

func (checker *checker) checkDocument(host *host) {
	document := host.node.Chain().Committed()
	if document.Sequence == 0 || document == host.document {
		return
	}
	host.document = document
	hash := messageDigest(document)
	if known, found := checker.documents[document.Sequence]; found {
		if known != hash {
			checker.fail("agreement", "%s holds another document %d than others", host.name, document.Sequence)
		}
		return
	}
	checker.documents[document.Sequence] = hash
	checker.committed = max(checker.committed, document.Sequence)
	entered := map[string]bool{}
	for _, outcome := range document.Outcomes {
		if entered[outcome.Operation] {
			checker.fail("P5", "%s is in effect twice at %s", outcome.Operation, host.name)
		}
		entered[outcome.Operation] = true
		if checker.rejected[outcome.Operation] {
			checker.fail("P2", "%s was refused and is in effect at %s", outcome.Operation, host.name)
		}
		if epoch, found := checker.effective[outcome.Operation]; found && epoch != outcome.SpecEpoch {
			checker.fail("P2", "%s is epoch %d and %d", outcome.Operation, epoch, outcome.SpecEpoch)
		}
		checker.effective[outcome.Operation] = outcome.SpecEpoch
	}
}

func (checker *checker) checkView(host *host) {
	view := host.node.View()
	if view.Epoch == 0 || view == host.view {
		return
	}
	host.view = view
	hash := messageDigest(view)
	if known, found := checker.views[view.Epoch]; found && known != hash {
		checker.fail("agreement", "%s has another view %d than others", host.name, view.Epoch)
	}
	checker.views[view.Epoch] = hash
	if _, found := checker.acknowledgedAtView[view.Epoch]; !found {
		checker.acknowledgedAtView[view.Epoch] = checker.acknowledged()
		checker.checkJoiners(view)
	}
	checker.newestView = max(checker.newestView, view.Epoch)
}

// checkJoiners checks that whoever joins by a view has learned all that was acknowledged before the last view.
func (checker *checker) checkJoiners(view *wire.View) {
	least := checker.acknowledgedAtView[view.Epoch-1]
	for _, host := range checker.world.hosts {
		if !host.core || !host.up || host.frozen || host.node.Chain().IsMember() {
			continue
		}
		for _, member := range view.Chain {
			if epoch := host.node.Chain().Latest().SpecEpoch; member.Id == host.node.Self().Id && epoch < least {
				checker.fail("P4", "%s joins by view %d with epoch %d, %d was acknowledged before view %d", host.name,
					view.Epoch, epoch, least, view.Epoch-1)
			}
		}
	}
}

// checkHistory checks that no operation was entered twice.
func (checker *checker) checkHistory(host *host) {
	if len(host.node.Chain().Pending()) == 0 {
		return
	}
	entered := map[string]bool{}
	for _, outcome := range host.node.Chain().Latest().Outcomes {
		if entered[outcome.Operation] {
			checker.fail("P5", "%s was entered twice at %s", outcome.Operation, host.name)
		}
		entered[outcome.Operation] = true
	}
}

// checkLeader checks that one machine at most leads, and with all that was committed.
func (checker *checker) checkLeader(host *host) {
	for _, other := range checker.world.hosts {
		if other != host && other.core && other.up && !other.frozen && other.node.IsLeading(checker.world.now) {
			checker.fail("P1", "%s and %s lead at once", host.name, other.name)
		}
	}
	chain := host.node.Chain()
	if latest := chain.Latest().Sequence; latest < checker.committed {
		checker.fail("P4", "%s leads with history up to %d, %d is committed", host.name, latest, checker.committed)
	}
	if epoch := chain.Committed().SpecEpoch; epoch < checker.acknowledged() {
		checker.fail("P4", "%s leads by epoch %d, %d was acknowledged", host.name, epoch, checker.acknowledged())
	}
}

// checkLearnResponse checks what a machine is about to teach.
func (checker *checker) checkLearnResponse(host *host, envelope *wire.Envelope) {
	answer := envelope.GetLearnResponse()
	if answer == nil || answer.View < checker.newestView {
		return
	}
	if answer.Document.GetSpecEpoch() < checker.acknowledged() {
		checker.fail("P4", "%s teaches epoch %d in view %d, %d was acknowledged", host.name,
			answer.Document.GetSpecEpoch(), answer.View, checker.acknowledged())
	}
}

// acknowledged returns the greatest epoch that was acknowledged, also before the search.
func (checker *checker) acknowledged() uint64 {
	greatest := checker.acknowledgedBefore
	for _, one := range checker.accepted {
		greatest = max(greatest, one.Epoch)
	}
	return greatest
}

// countCopies notes on how many disks each operation is.
func (checker *checker) countCopies() {
	for index, request := range checker.world.scenario.Requests {
		if !checker.world.sent[index] {
			continue
		}
		copies := 0
		for _, host := range checker.world.hosts {
			if host.core && host.disk.operations[request.Operation] {
				copies++
			}
		}
		checker.copies[request.Operation] = max(checker.copies[request.Operation], copies)
	}
}

// checkDaemon checks by what a daemon would award work at this moment.
func (checker *checker) checkDaemon(host *host) {
	now := checker.world.now
	checker.recordReachability(host)
	snapshot := host.controller.Snapshot(now)
	if !now.Before(snapshot.Until) {
		return
	}
	if snapshot.SpecEpoch < checker.servedEpoch[host.name] {
		checker.fail("P1", "%s slipped back from epoch %d to %d", host.name, checker.servedEpoch[host.name],
			snapshot.SpecEpoch)
	}
	checker.servedEpoch[host.name] = snapshot.SpecEpoch
	if reached := checker.reachableSince[host.name]; !reached.IsZero() {
		checker.checkServedEpoch(host, snapshot.SpecEpoch, reached)
	}
}

// checkServedEpoch checks that a daemon that reaches a core machine does not award by less than was acknowledged. A
// change is acknowledged only when nobody can go by an older one any more; only a daemon that reached none for a while
// has a lease's time from when it reaches one again.
func (checker *checker) checkServedEpoch(host *host, epoch uint64, reached time.Time) {
	for _, operation := range sortedKeys(checker.accepted) {
		since := checker.accepted[operation].At
		if known := reached.Add(lease.DaemonTTL + tickLength); since.Before(known) {
			since = known
		}
		if late := checker.world.now.Sub(since); checker.accepted[operation].Epoch > epoch && late >= 0 {
			checker.fail("P1", "%s awards under epoch %d, %v after %s was acknowledged as %d", host.name, epoch, late,
				operation, checker.accepted[operation].Epoch)
		}
	}
}

// recordReachability notes since when a daemon reaches at least one core machine. One that reaches none may go on by
// what it has for as long as it is told to. A machine that began less than startupTime ago can't tell whether there
// is a head and counts as none, as docs/control.md says under "Without any core".
func (checker *checker) recordReachability(daemon *host) {
	for _, host := range checker.world.hosts {
		if host.core && host.up && !host.frozen && checker.world.now.Sub(host.bootedAt) >= startupTime &&
			!checker.world.network.disconnected(daemon.name, host.name) {
			if checker.reachableSince[daemon.name].IsZero() {
				checker.reachableSince[daemon.name] = checker.world.now
			}
			return
		}
	}
	delete(checker.reachableSince, daemon.name)
}

// checkResponse takes an operator's answer.
func (checker *checker) checkResponse(index int, status int, body []byte) {
	request := checker.world.scenario.Requests[index]
	if checker.responded[index] {
		checker.fail("P5", "question %d was answered twice", index)
	}
	checker.responded[index] = true
	least := checker.epochAtRequest[index]
	delete(checker.epochAtRequest, index)
	reply := proposal.Reply{}
	if err := json.Unmarshal(body, &reply); err != nil {
		checker.fail("P5", "question %d got an answer that is no JSON", index)
		return
	}
	if reply.Operation != request.Operation {
		checker.fail("P5", "question %d, about %q, got an answer about %q", index, request.Operation, reply.Operation)
	}
	if request.Verb == "get" {
		if status == 200 && reply.Epoch < least {
			checker.fail("P1", "a read gave epoch %d, %d had been acknowledged before it was asked", reply.Epoch, least)
		}
		return
	}
	checker.checkChangeResponse(request, status, reply)
}

// checkChangeResponse takes the answer to a change. 503 and 504 of an operation that was sent more than once say
// nothing of its other copies; 504 says nothing at all.
func (checker *checker) checkChangeResponse(request Request, status int, reply proposal.Reply) {
	operation := request.Operation
	if status == 200 {
		checker.checkAccepted(request, reply.Epoch)
		return
	}
	if status == 504 || status == 503 && checker.timesSent(operation) > 1 {
		return
	}
	checker.rejected[operation] = true
	if _, found := checker.accepted[operation]; found {
		checker.fail("P2", "%s was acknowledged and then refused with %d", operation, status)
	}
	if _, found := checker.effective[operation]; found {
		checker.fail("P2", "%s was refused with %d and is in effect", operation, status)
	}
}

func (checker *checker) checkAccepted(request Request, epoch uint64) {
	operation := request.Operation
	if previous, found := checker.accepted[operation]; found {
		if previous.Epoch != epoch {
			checker.fail("P2", "%s was acknowledged as epoch %d and %d", operation, previous.Epoch, epoch)
		}
		return
	}
	if checker.rejected[operation] {
		checker.fail("P2", "%s was refused and then acknowledged", operation)
	}
	if known, found := checker.effective[operation]; !found || known != epoch {
		checker.fail("P3", "%s was acknowledged as epoch %d and is committed as %d", operation, epoch, known)
	}
	for _, other := range sortedKeys(checker.accepted) {
		if checker.accepted[other].Epoch == epoch || checker.accepted[other].Base == request.Base {
			checker.fail("P2", "%s and %s were both acknowledged on base %d", other, operation, request.Base)
		}
	}
	if checker.copies[operation] < toleratedFaults+1 {
		checker.fail("P3", "%s was acknowledged with %d synced copies", operation, checker.copies[operation])
	}
	checker.accepted[operation] = acceptedChange{Base: request.Base, Epoch: epoch, At: checker.world.now}
	for _, host := range checker.world.hosts {
		if !host.core && host.up && !host.frozen {
			checker.checkDaemon(host)
		}
	}
}

// timesSent tells how often an operation was sent, or will be.
func (checker *checker) timesSent(operation string) int {
	count := 0
	for _, request := range checker.world.scenario.Requests {
		if request.Operation == operation {
			count++
		}
	}
	return count
}
