package simulation

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/node"
	"wardtray/verify/histories"
	"wardtray/wire"
)

// Order is one operator's change in the simulation.
type Order struct {
	Operation string
	Verb      string
	Base      uint64
	Sent, Got time.Time
	Outcome   string
	Epoch     uint64
	Status    int
	// Resent means that the same operation was sent more than once.
	Resent bool
}

// Checker looks at the world after each step.
type Checker struct {
	world      *World
	Violations []string
	Orders     []*Order
	// WorstCases keep the worst case seen of each rule with a figure.
	WorstCases map[string]time.Duration

	committed map[uint64][32]byte
	// copies is on how many disks of its chain a head that may act had an epoch, at most.
	copies  map[uint64]int
	known   map[string]uint64
	refused map[string]bool
	// invalid are the changes that no fleet may accept.
	invalid      map[string]bool
	acknowledged []*Order
	seen         map[string]uint64
	// served is the greatest epoch under which a data daemon awarded work.
	served    map[*Host]uint64
	Decisions int
	Refusals  int
	// OnAccepted, if set, runs when a change has been acknowledged.
	OnAccepted func()
}

func newChecker(world *World) *Checker {
	return &Checker{
		world:      world,
		WorstCases: map[string]time.Duration{},
		committed:  map[uint64][32]byte{},
		copies:     map[uint64]int{},
		known:      map[string]uint64{},
		refused:    map[string]bool{},
		invalid:    map[string]bool{},
		seen:       map[string]uint64{},
		served:     map[*Host]uint64{},
	}
}

func (checker *Checker) violation(format string, values ...any) {
	checker.Violations = append(
		checker.Violations,
		fmt.Sprintf("seed %d at %v: ", checker.world.Seed, checker.world.Now.Sub(checker.world.started))+fmt.Sprintf(
			format,
			values...),
	)
}

func (checker *Checker) recordWorst(rule string, length time.Duration) {
	checker.WorstCases[rule] = max(checker.WorstCases[rule], length)
}

// step checks whatever a step of this host can have broken.
func (checker *Checker) step(host *Host) {
	if !host.up || host.frozen {
		return
	}
	if host.core != nil {
		checker.checkCore(host)
		return
	}
	checker.checkDaemon(host)
}

// checkCore checks that all agree on history and that one machine at most leads.
func (checker *Checker) checkCore(host *Host) {
	document := host.core.node.Chain().Committed()
	if document.Sequence > checker.seen[host.Address] ||
		document.Sequence > 0 && checker.committed[document.Sequence] == [32]byte{} {
		checker.seen[host.Address] = document.Sequence
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(document)
		if err != nil {
			panic(err)
		}
		digest := sha256.Sum256(content)
		if other, found := checker.committed[document.Sequence]; found && other != digest {
			checker.violation("%s holds another document %d than others", host.Address, document.Sequence)
		}
		checker.committed[document.Sequence] = digest
		checker.checkOutcomes(host, document)
	}
	if !host.core.node.IsLeading(host.local()) {
		return
	}
	checker.countCopies(host)
	for _, other := range checker.world.Hosts {
		if other != host && other.core != nil && other.core.isLeading() {
			checker.violation("%s and %s lead at once", host.Address, other.Address)
		}
	}
}

// checkOutcomes checks that each operation has one outcome everywhere.
func (checker *Checker) checkOutcomes(host *Host, document *wire.Document) {
	for _, outcome := range document.Outcomes {
		if checker.refused[outcome.Operation] {
			checker.violation("%s was refused and is in effect at %s", outcome.Operation, host.Address)
		}
		if epoch, found := checker.known[outcome.Operation]; found && epoch != outcome.SpecEpoch {
			checker.violation("%s is epoch %d and %d", outcome.Operation, epoch, outcome.SpecEpoch)
		}
		checker.known[outcome.Operation] = outcome.SpecEpoch
	}
}

// countCopies notes on how many disks of its own chain a head has what it may acknowledge now. Why: the answer itself
// may reach its client much later, when the chain is another.
func (checker *Checker) countCopies(head *Host) {
	epoch, copies := head.core.node.Chain().Committed().SpecEpoch, 0
	for _, host := range checker.world.Cores() {
		other := host.core.node
		if other != nil && holds(head.core.node.View().Chain, other.Self().Id) && host.core.hasSynced(epoch) {
			copies++
		}
	}
	checker.copies[epoch] = max(checker.copies[epoch], copies)
}

// checkDaemon has a data daemon award work at this moment, if it would, and checks what it would go by.
func (checker *Checker) checkDaemon(host *Host) {
	world, local := checker.world, host.local()
	world.isolations.refresh()
	snapshot := host.daemon.controller.Snapshot(local)
	if !local.Before(snapshot.Until) || snapshot.Catalog == nil {
		checker.Refusals++
		return
	}
	checker.Decisions++
	if served := checker.served[host]; snapshot.SpecEpoch < served {
		checker.violation("%s slipped back from epoch %d to %d", host.Address, served, snapshot.SpecEpoch)
	}
	checker.served[host] = snapshot.SpecEpoch
	for index := len(checker.acknowledged) - 1; index >= 0; index-- {
		order := checker.acknowledged[index]
		if order.Epoch <= snapshot.SpecEpoch {
			continue
		}
		late := world.Now.Sub(order.Got)
		if !checker.mayIgnore(host, late, histories.SpecBound) {
			checker.violation("%s awards under epoch %d, %v after %d was acknowledged", host.Address,
				snapshot.SpecEpoch, late, order.Epoch)
		}
	}
	if world.RegisteringRunners != nil {
		world.RegisteringRunners.check(host, snapshot.Runners)
	}
	for _, runner := range snapshot.Runners {
		if left, gone := world.Platform.removedAt[runner.RunnerId]; gone {
			late := world.Now.Sub(left)
			checker.recordWorst("work to a leaving runner", late)
			if late > histories.DrainingBound {
				checker.violation("%s still has runner %s, %v after it left", host.Address, runner.RunnerId, late)
			}
		}
	}
}

// namesBase names the verbs that name the epoch they are built on.
var namesBase = map[string]bool{"apply": true, "change": true}

// Resend has an operator send a change that was sent before, unchanged, through another core.
func (checker *Checker) Resend(host *Host, order *Order, ask *wire.OperatorRequest) *Order {
	order.Resent = true
	// A way to the head that was not found is no word on the change, which may be sent again.
	if order.Status == 503 {
		delete(checker.refused, order.Operation)
	}
	return checker.send(host, proto.CloneOf(ask), true)
}

// Send has an operator send a change through a core; what comes back is checked.
func (checker *Checker) Send(host *Host, ask *wire.OperatorRequest) *Order {
	return checker.send(host, ask, false)
}

func (checker *Checker) send(host *Host, ask *wire.OperatorRequest, again bool) *Order {
	world := checker.world
	order := &Order{
		Operation: ask.Operation,
		Verb:      ask.Verb,
		Base:      ask.Base,
		Sent:      world.Now,
		Outcome:   "unknown",
		Resent:    again,
	}
	checker.Orders = append(checker.Orders, order)
	recorded := checker.record(order, ask)
	if !host.up || host.frozen {
		return order
	}
	least := checker.greatestAcknowledged()
	host.on(host.incarnation, func() {
		host.core.node.Submit(host.local(), ask, func(status int, body []byte) {
			reply := node.Reply{}
			if err := json.Unmarshal(body, &reply); err != nil {
				checker.violation("an answer that is no JSON: %s", body)
				return
			}
			order.Got, order.Outcome, order.Epoch, order.Status = world.Now, reply.Outcome, reply.Epoch, status
			// Of an operation that was sent twice, one copy may find no way to the head while the other does.
			if status == 504 || order.Resent && status == 503 {
				order.Outcome = "unknown"
			}
			recorded.Got, recorded.Outcome = world.Now, order.Outcome
			recorded.Epoch, recorded.HTTPStatus = order.Epoch, status
			checker.checkReply(order, ask, least)
		})
	})
	return order
}

// record records a change for the checker of the request path, where there is one.
func (checker *Checker) record(order *Order, ask *wire.OperatorRequest) *histories.Order {
	recorded := &histories.Order{
		Operation: ask.Operation,
		Verb:      ask.Verb,
		Zone:      ask.Zone,
		Base:      ask.Base,
		HasBase:   ask.HasBase,
		Sent:      order.Sent,
		Outcome:   "unknown",
	}
	if traffic := checker.world.Traffic; traffic != nil && ask.Verb != "get" {
		recorded.Spec = traffic.specs[ask.Operation]
		if change, err := config.ParseChange(ask.Spec); ask.Verb == "change" && err == nil {
			recorded.Change = change
		}
		traffic.History.Orders = append(traffic.History.Orders, recorded)
	}
	return recorded
}

func (checker *Checker) greatestAcknowledged() uint64 {
	greatest := uint64(0)
	for _, order := range checker.acknowledged {
		greatest = max(greatest, order.Epoch)
	}
	return greatest
}

// checkReply checks the answer to an operator's question.
func (checker *Checker) checkReply(order *Order, ask *wire.OperatorRequest, least uint64) {
	if ask.Verb == "get" {
		if order.Status == 200 && order.Epoch < least {
			checker.violation("a read gave epoch %d after %d had been acknowledged", order.Epoch, least)
		}
		return
	}
	if ask.Verb == "operation" {
		return
	}
	if order.Outcome == "refused" {
		if _, known := checker.known[order.Operation]; known {
			checker.violation("%s was refused and is in effect", order.Operation)
		}
		checker.refused[order.Operation] = true
	}
	if order.Outcome != "accepted" {
		return
	}
	checker.checkAccepted(order, ask)
	checker.checkCopies(order)
	checker.acknowledged = append(checker.acknowledged, order)
	if checker.OnAccepted != nil {
		checker.OnAccepted()
	}
}

// checkAccepted checks that an acknowledged order is valid, in effect, and the only one on its base.
func (checker *Checker) checkAccepted(order *Order, ask *wire.OperatorRequest) {
	if checker.invalid[order.Operation] {
		checker.violation("invalid-accepted: %s is invalid and was accepted", order.Operation)
	}
	if epoch, known := checker.known[order.Operation]; !known || epoch != order.Epoch {
		checker.violation("%s was acknowledged as epoch %d and is committed as %d", order.Operation, order.Epoch, epoch)
	}
	for _, other := range checker.acknowledged {
		if other.Operation != order.Operation &&
			(other.Epoch == order.Epoch || namesBase[ask.Verb] && namesBase[other.Verb] && other.Base == order.Base) {
			checker.violation("%s and %s were both accepted on one base", other.Operation, order.Operation)
		}
	}
}

// checkCopies checks that an acknowledged order stands on as many disks as may be lost, and one more.
func (checker *Checker) checkCopies(order *Order) {
	// With three disks or more no change may be told as accepted that stands on one disk only.
	for _, host := range checker.world.Cores() {
		if host.core.isLeading() {
			checker.countCopies(host)
		}
	}
	copies := 0
	for epoch, held := range checker.copies {
		if epoch >= order.Epoch {
			copies = max(copies, held)
		}
	}
	if copies < min(checker.world.Faults+1, len(checker.world.founders)) {
		checker.violation("%s was acknowledged with %d synced copies in the chain", order.Operation, copies)
	}
}

func holds(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}
