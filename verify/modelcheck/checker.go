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

// checker records the observations of one run and the first violated property. The package documentation defines P1 to
// P5.
type checker struct {
	world *world
	// violation describes the first property that did not hold; "" while all hold.
	violation string

	// documents are the digests of all committed documents by sequence number, views those of all views by epoch.
	documents  map[uint64]uint64
	views      map[uint64]uint64
	newestView uint64
	committed  uint64
	// acknowledgedBefore is the greatest epoch acknowledged before the search began, acknowledgedAtView the greatest one
	// acknowledged when each view, by its epoch, was first seen.
	acknowledgedBefore uint64
	acknowledgedAtView map[uint64]uint64
	// effective are the committed operations and their epochs.
	effective map[string]uint64
	accepted  map[string]acceptedChange
	rejected  map[string]bool
	// copies is the greatest number of disks that held an operation at the same time.
	copies map[string]int
	// servedEpoch is the last epoch under which each daemon could assign work, reachableSince the time since which it has
	// reached a control machine.
	servedEpoch    map[string]uint64
	reachableSince map[string]time.Time
	// responded holds the requests that have their response, by index. epochAtRequest holds, for each request that has
	// none yet, the greatest epoch that was acknowledged when it was sent.
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

// addToFingerprint adds everything that later checks depend on.
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

// check checks the properties that a step of a host can violate.
func (checker *checker) check(host *host) {
	if !host.isControlNode {
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
			checker.fail("agreement", "%s holds another document %d than other machines", host.name, document.Sequence)
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
			checker.fail("P2", "%s is epoch %d and epoch %d", outcome.Operation, epoch, outcome.SpecEpoch)
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
		checker.fail("agreement", "%s has another view %d than other machines", host.name, view.Epoch)
	}
	checker.views[view.Epoch] = hash
	if _, found := checker.acknowledgedAtView[view.Epoch]; !found {
		checker.acknowledgedAtView[view.Epoch] = checker.acknowledged()
		checker.checkJoiners(view)
	}
	checker.newestView = max(checker.newestView, view.Epoch)
}

// checkJoiners checks that a machine that joins the chain in a view has learned every change that was acknowledged
// before the preceding view.
func (checker *checker) checkJoiners(view *wire.View) {
	least := checker.acknowledgedAtView[view.Epoch-1]
	for _, host := range checker.world.hosts {
		if !host.isControlNode || !host.up || host.frozen || host.node.Chain().IsMember() {
			continue
		}
		for _, member := range view.Chain {
			if epoch := host.node.Chain().Latest().SpecEpoch; member.Id == host.node.Self().Id && epoch < least {
				checker.fail("P4", "%s joins in view %d with epoch %d, although %d was acknowledged before view %d", host.name,
					view.Epoch, epoch, least, view.Epoch-1)
			}
		}
	}
}

// checkHistory checks that a machine's history, its pending entries included, has each operation once.
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

// checkLeader checks that at most one machine leads, and that its history includes every committed document.
func (checker *checker) checkLeader(host *host) {
	for _, other := range checker.world.hosts {
		if other != host && other.isControlNode && other.up && !other.frozen && other.node.IsLeading(checker.world.now) {
			checker.fail("P1", "%s and %s lead at once", host.name, other.name)
		}
	}
	chain := host.node.Chain()
	if latest := chain.Latest().Sequence; latest < checker.committed {
		checker.fail("P4", "%s leads with history up to %d, although %d is committed", host.name, latest, checker.committed)
	}
	if epoch := chain.Committed().SpecEpoch; epoch < checker.acknowledged() {
		checker.fail("P4", "%s leads under epoch %d, although %d was acknowledged", host.name, epoch, checker.acknowledged())
	}
}

// checkLearnResponse checks that the state that a machine is about to transfer has every acknowledged change.
func (checker *checker) checkLearnResponse(host *host, envelope *wire.Envelope) {
	answer := envelope.GetLearnResponse()
	if answer == nil || answer.View < checker.newestView {
		return
	}
	if answer.Document.GetSpecEpoch() < checker.acknowledged() {
		checker.fail("P4", "%s transfers epoch %d in view %d, although %d was acknowledged", host.name,
			answer.Document.GetSpecEpoch(), answer.View, checker.acknowledged())
	}
}

// acknowledged returns the greatest acknowledged epoch, including those acknowledged before the search began.
func (checker *checker) acknowledged() uint64 {
	greatest := checker.acknowledgedBefore
	for _, one := range checker.accepted {
		greatest = max(greatest, one.Epoch)
	}
	return greatest
}

// countCopies updates the greatest number of disks that held each operation.
func (checker *checker) countCopies() {
	for index, request := range checker.world.scenario.Requests {
		if !checker.world.sent[index] {
			continue
		}
		copies := 0
		for _, host := range checker.world.hosts {
			if host.isControlNode && host.disk.operations[request.Operation] {
				copies++
			}
		}
		checker.copies[request.Operation] = max(checker.copies[request.Operation], copies)
	}
}

// checkDaemon checks the epoch under which a daemon would assign work at this moment.
func (checker *checker) checkDaemon(host *host) {
	now := checker.world.now
	checker.recordReachability(host)
	snapshot := host.controller.Snapshot(now)
	if !now.Before(snapshot.ExpiresAt) {
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

// checkServedEpoch checks that a daemon that reaches a control machine assigns no work under an epoch older than the
// acknowledged one. A change is acknowledged only when no daemon can act under an older one. The exception is a daemon
// that reached no control machine: after it reaches one again, it may use the older epoch for the duration of a lease.
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

// recordReachability records since when a daemon has reached at least one control machine. A daemon that reaches none
// may continue under its last configuration version for isolationLimit. A control machine that started less than
// startupTime ago cannot yet know whether there is a head and does not count; see "Without any control
// machine" in docs/control.md.
func (checker *checker) recordReachability(daemon *host) {
	for _, host := range checker.world.hosts {
		if host.isControlNode && host.up && !host.frozen && checker.world.now.Sub(host.bootedAt) >= startupTime &&
			!checker.world.network.disconnected(daemon.name, host.name) {
			if checker.reachableSince[daemon.name].IsZero() {
				checker.reachableSince[daemon.name] = checker.world.now
			}
			return
		}
	}
	delete(checker.reachableSince, daemon.name)
}

// checkResponse checks the response to an operator's request.
func (checker *checker) checkResponse(index int, status int, body []byte) {
	request := checker.world.scenario.Requests[index]
	if checker.responded[index] {
		checker.fail("P5", "request %d got two responses", index)
	}
	checker.responded[index] = true
	least := checker.epochAtRequest[index]
	delete(checker.epochAtRequest, index)
	reply := proposal.Reply{}
	if err := json.Unmarshal(body, &reply); err != nil {
		checker.fail("P5", "request %d got a response that is not JSON", index)
		return
	}
	if reply.Operation != request.Operation {
		checker.fail("P5", "request %d for operation %q got the response for %q", index, request.Operation, reply.Operation)
	}
	if request.Verb == "get" {
		if status == 200 && reply.Epoch < least {
			checker.fail("P1", "a read gave epoch %d, %d had been acknowledged before it was sent", reply.Epoch, least)
		}
		return
	}
	checker.checkChangeResponse(request, status, reply)
}

// checkChangeResponse checks the response to a change. 504 states no outcome; 503 states the outcome of one
// transmission only, so it says nothing of an operation that is sent more than once.
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
		if !host.isControlNode && host.up && !host.frozen {
			checker.checkDaemon(host)
		}
	}
}

// timesSent returns the number of times that a scenario sends an operation.
func (checker *checker) timesSent(operation string) int {
	count := 0
	for _, request := range checker.world.scenario.Requests {
		if request.Operation == operation {
			count++
		}
	}
	return count
}
