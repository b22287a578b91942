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

// judge remembers what was seen in one run, and what of it breaks a property. The numbers P1 to P5 are those of
// the package's own documentation.
type judge struct {
	world *world
	// broken is the first property that did not hold.
	broken string

	// documents and views are the digests of all committed documents by sequence, and of all views by epoch.
	documents map[uint64]uint64
	views     map[uint64]uint64
	newest    uint64
	committed uint64
	// before is the epoch that was acknowledged before the search began, known what was when each view was first seen.
	before uint64
	known  map[uint64]uint64
	// effective are the committed operations and their epochs.
	effective map[string]uint64
	accepted  map[string]accepted
	refused   map[string]bool
	// copies is on how many disks an operation was at once, at most.
	copies map[string]int
	// awarded is the greatest epoch by which a daemon awarded, reached since when it reaches a core machine.
	awarded map[string]uint64
	reached map[string]time.Time
	// answered tells which questions have their answer, asked which wait for one and since which epoch was acknowledged.
	answered map[int]bool
	asked    map[int]uint64
}

// accepted is a change that was acknowledged.
type accepted struct {
	Base, Epoch uint64
	At          time.Time
}

func newJudge(world *world) *judge {
	return &judge{world: world, documents: map[uint64]uint64{}, views: map[uint64]uint64{}, known: map[uint64]uint64{}, effective: map[string]uint64{}, accepted: map[string]accepted{},
		refused: map[string]bool{}, copies: map[string]int{}, awarded: map[string]uint64{}, reached: map[string]time.Time{}, answered: map[int]bool{}, asked: map[int]uint64{}}
}

func (judge *judge) fail(property, format string, values ...any) {
	if judge.broken == "" {
		judge.broken = property + ": " + fmt.Sprintf(format, values...)
	}
}

// addTo folds in what later checks go by.
func (judge *judge) addTo(sum *digest, walker *walker) {
	for _, part := range []any{judge.newest, judge.known[judge.newest], judge.committed, judge.effective, judge.accepted, judge.refused, judge.awarded, judge.reached, judge.answered, judge.asked} {
		sum.add(walker.walk(reflect.ValueOf(part)))
	}
}

// look checks whatever a step of this host can have broken.
func (judge *judge) look(host *host) {
	if !host.core {
		judge.lookAtDaemon(host)
		return
	}
	judge.lookAtDocument(host)
	judge.lookAtView(host)
	judge.lookAtHistory(host)
	judge.countCopies()
	if host.node.Leading(judge.world.now) {
		judge.lookAtLeader(host)
	}
}

func (judge *judge) lookAtDocument(host *host) {
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
		if judge.refused[outcome.Operation] {
			judge.fail("P2", "%s was refused and is in effect at %s", outcome.Operation, host.name)
		}
		if epoch, found := judge.effective[outcome.Operation]; found && epoch != outcome.SpecEpoch {
			judge.fail("P2", "%s is epoch %d and %d", outcome.Operation, epoch, outcome.SpecEpoch)
		}
		judge.effective[outcome.Operation] = outcome.SpecEpoch
	}
}

func (judge *judge) lookAtView(host *host) {
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
	if _, found := judge.known[view.Epoch]; !found {
		judge.known[view.Epoch] = judge.acknowledged()
		judge.lookAtJoiners(view)
	}
	judge.newest = max(judge.newest, view.Epoch)
}

// lookAtJoiners checks that whoever joins by a view has learned all that was acknowledged before the last view.
func (judge *judge) lookAtJoiners(view *wire.View) {
	least := judge.known[view.Epoch-1]
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

// lookAtHistory checks that no operation was entered twice.
func (judge *judge) lookAtHistory(host *host) {
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

// lookAtLeader checks that one machine at most leads, and with all that was committed.
func (judge *judge) lookAtLeader(host *host) {
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

// sending checks what a machine is about to teach.
func (judge *judge) sending(host *host, envelope *wire.Envelope) {
	answer := envelope.GetLearnResponse()
	if answer == nil || answer.View < judge.newest {
		return
	}
	if answer.Document.GetSpecEpoch() < judge.acknowledged() {
		judge.fail("P4", "%s teaches epoch %d in view %d, %d was acknowledged", host.name, answer.Document.GetSpecEpoch(), answer.View, judge.acknowledged())
	}
}

// acknowledged gives the greatest epoch that was acknowledged, also before the search.
func (judge *judge) acknowledged() uint64 {
	greatest := judge.before
	for _, one := range judge.accepted {
		greatest = max(greatest, one.Epoch)
	}
	return greatest
}

// countCopies notes on how many disks each operation is.
func (judge *judge) countCopies() {
	for place, question := range judge.world.scenario.Sends {
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

// lookAtDaemon checks by what a daemon would award work at this moment.
func (judge *judge) lookAtDaemon(host *host) {
	now := judge.world.now
	judge.noteReach(host)
	snapshot := host.machine.Snapshot(now)
	if !now.Before(snapshot.Until) {
		return
	}
	if snapshot.SpecEpoch < judge.awarded[host.name] {
		judge.fail("P1", "%s slipped back from epoch %d to %d", host.name, judge.awarded[host.name], snapshot.SpecEpoch)
	}
	judge.awarded[host.name] = snapshot.SpecEpoch
	if reached := judge.reached[host.name]; !reached.IsZero() {
		judge.lookAtAward(host, snapshot.SpecEpoch, reached)
	}
}

// lookAtAward checks that a daemon that reaches a core machine does not award by less than was acknowledged. A change is
// acknowledged only when nobody can go by an older one any more; only a daemon that reached none for a while has a
// lease's time from when it reaches one again.
func (judge *judge) lookAtAward(host *host, epoch uint64, reached time.Time) {
	for _, operation := range sortedKeys(judge.accepted) {
		since := judge.accepted[operation].At
		if known := reached.Add(lease.DaemonTerm + step); since.Before(known) {
			since = known
		}
		if late := judge.world.now.Sub(since); judge.accepted[operation].Epoch > epoch && late >= 0 {
			judge.fail("P1", "%s awards under epoch %d, %v after %s was acknowledged as %d", host.name, epoch, late, operation, judge.accepted[operation].Epoch)
		}
	}
}

// noteReach notes since when a daemon reaches at least one core machine. One that reaches none may go on by what it
// has for as long as it is told to. A machine that began less than startingBound ago can't tell whether there is a head
// and counts as none, as docs/control.md says under "Without any core".
func (judge *judge) noteReach(daemon *host) {
	for _, host := range judge.world.hosts {
		if host.core && host.up && !host.frozen && judge.world.now.Sub(host.booted) >= startingBound && !judge.world.parted(daemon.name, host.name) {
			if judge.reached[daemon.name].IsZero() {
				judge.reached[daemon.name] = judge.world.now
			}
			return
		}
	}
	delete(judge.reached, daemon.name)
}

// answer takes an operator's answer.
func (judge *judge) answer(place int, status int, body []byte) {
	question := judge.world.scenario.Sends[place]
	if judge.answered[place] {
		judge.fail("P5", "question %d was answered twice", place)
	}
	judge.answered[place] = true
	least := judge.asked[place]
	delete(judge.asked, place)
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
	judge.changed(question, status, reply)
}

// changed takes the answer to a change. 503 and 504 of an operation that was sent more than once say nothing of its
// other copies; 504 says nothing at all.
func (judge *judge) changed(question Question, status int, reply node.Reply) {
	operation := question.Operation
	if status == 200 {
		judge.acceptedAs(question, reply.Epoch)
		return
	}
	if status == 504 || status == 503 && judge.copiesSent(operation) > 1 {
		return
	}
	judge.refused[operation] = true
	if _, found := judge.accepted[operation]; found {
		judge.fail("P2", "%s was acknowledged and then refused with %d", operation, status)
	}
	if _, found := judge.effective[operation]; found {
		judge.fail("P2", "%s was refused with %d and is in effect", operation, status)
	}
}

func (judge *judge) acceptedAs(question Question, epoch uint64) {
	operation := question.Operation
	if previous, found := judge.accepted[operation]; found {
		if previous.Epoch != epoch {
			judge.fail("P2", "%s was acknowledged as epoch %d and %d", operation, previous.Epoch, epoch)
		}
		return
	}
	if judge.refused[operation] {
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
	if judge.copies[operation] < faults+1 {
		judge.fail("P3", "%s was acknowledged with %d synced copies", operation, judge.copies[operation])
	}
	judge.accepted[operation] = accepted{Base: question.Base, Epoch: epoch, At: judge.world.now}
	for _, host := range judge.world.hosts {
		if !host.core && host.up && !host.frozen {
			judge.lookAtDaemon(host)
		}
	}
}

// copiesSent tells how often an operation was sent, or will be.
func (judge *judge) copiesSent(operation string) int {
	count := 0
	for _, question := range judge.world.scenario.Sends {
		if question.Operation == operation {
			count++
		}
	}
	return count
}
