package scale

import (
	"fmt"
	"maps"
	"math/rand"
	"sort"
	"sync"
	"time"

	"wardtray/apierror"
	"wardtray/control/operator"
)

// FaultPlan says which faults are done to a fleet that serves, and when, while an operator makes changes.
// All times count from the moment at which the changes begin.
type FaultPlan struct {
	// KillHead loses the head. With Power its machine falls silent, as without power; otherwise its process is
	// killed, and its system refuses connections.
	KillHead bool
	Power    bool
	// Lose is the share of the daemons that fall silent, as without power.
	Lose float64
	// KillAt and LoseAt are when that happens, HeadBack and LostBack when they are started again.
	KillAt, HeadBack time.Duration
	LoseAt, LostBack time.Duration
	// Every is how often the operator makes a change; 0 for none.
	Every time.Duration
	// Settled is how long the fleet is watched after all are back and serve.
	Settled time.Duration
}

// any tells whether there is anything to do.
func (plan FaultPlan) any() bool { return plan.KillHead || plan.Lose > 0 }

// mostLost bounds the share of the daemons that a plan may lose.
const mostLost = 0.9

// check refuses a plan whose moments or share make no sense.
func (plan FaultPlan) check() error {
	if plan.Lose < 0 || plan.Lose > mostLost {
		return apierror.New(apierror.BadSettings, "--lose %v: give a share from 0 to %v", plan.Lose, mostLost)
	}
	if plan.KillHead && plan.HeadBack <= plan.KillAt {
		return apierror.New(apierror.BadSettings, "--head-back %v is not after --kill-at %v", plan.HeadBack, plan.KillAt)
	}
	if plan.Lose > 0 && plan.LostBack <= plan.LoseAt {
		return apierror.New(apierror.BadSettings, "--lost-back %v is not after --lose-at %v", plan.LostBack, plan.LoseAt)
	}
	return nil
}

// begin is the moment of the first fault.
func (plan FaultPlan) begin() time.Duration {
	if plan.KillHead && plan.Lose > 0 {
		return min(plan.KillAt, plan.LoseAt)
	}
	if plan.KillHead {
		return plan.KillAt
	}
	return plan.LoseAt
}

// The stages of a run with faults; each is a phase of the results.
const (
	// stageBefore is with changes and without faults.
	stageBefore = "faults-before"
	// stageSilent goes from the first fault until a head acts; without KillHead it is empty and left out.
	stageSilent = "faults-silent"
	// stageDegraded goes from then on until all are back and serve.
	stageDegraded = "faults-degraded"
	// stageAfter is with changes once all are back.
	stageAfter = "faults-after"
)

// stageNames lists the stages in their order.
var stageNames = []string{stageBefore, stageSilent, stageDegraded, stageAfter}

const (
	// headBound is how long a new head is waited for, servingBound how long all daemons may take to serve again.
	headBound    = 60 * time.Second
	servingBound = 60 * time.Second
	// countEvery is how often the messages are counted while no head acts, to find the busiest stretch.
	countEvery = 500 * time.Millisecond
	headPoll   = 20 * time.Millisecond
)

// stage is one part of the run between two observations.
type stage struct {
	name    string
	bounds  Interval
	phase   Phase
	daemons int
}

// faultRun is a run with faults while it goes on.
type faultRun struct {
	fleet   *fleet
	plan    FaultPlan
	started time.Duration
	head    *coreProcess
	lost    []string
	stages  []stage
	last    observation
	since   time.Duration
	notes   []string
	// Moments of the steady time.
	firstFault, headLost, headActs time.Duration
}

// faults carries a plan out and gives a phase for each stage.
func (fleet *fleet) faults() []Phase {
	run := &faultRun{fleet: fleet, plan: fleet.options.Faults, head: fleet.member("head")}
	if run.head == nil {
		return []Phase{{Name: stageBefore, Notes: []string{"not measured: no head was found"}}}
	}
	fleet.client = operator.New(run.operatorCores())
	fleet.order(Order{Verb: "watch"})
	changes := newChangeLog(fleet, run.plan.Every)
	run.started = monotonic()
	run.last, run.since = fleet.observe(), run.started
	run.waitUntil(run.plan.begin())
	run.close(stageBefore, fleet.options.Daemons)
	run.harm()
	run.repair()
	run.close(stageDegraded, fleet.options.Daemons-len(run.lost))
	leases := fleet.order(Order{Verb: "leases"}).Leases
	run.returnDaemons()
	pause(run.plan.Settled)
	run.close(stageAfter, fleet.options.Daemons)
	settled := fleet.order(Order{Verb: "leases"}).Leases
	return run.phases(leases, settled, changes.end())
}

// operatorCores are the cores that an operator asks, the head last: a client that waits for the answer of a
// machine without power would measure its own patience.
func (run *faultRun) operatorCores() []string {
	var cores []string
	for _, process := range run.fleet.cores {
		if process != run.head {
			cores = append(cores, process.place.HTTP)
		}
	}
	return append(cores, run.head.place.HTTP)
}

func (run *faultRun) waitUntil(moment time.Duration) {
	if left := run.started + moment - monotonic(); left > 0 {
		pause(left)
	}
}

// close ends a stage.
func (run *faultRun) close(name string, daemons int) {
	now, at := run.fleet.observe(), monotonic()
	phase := run.fleet.between(name, run.last, now, daemons)
	if name == stageBefore || name == stageAfter {
		phase.judgeUpset()
	}
	run.stages = append(run.stages, stage{name: name, bounds: Interval{From: run.since, To: at}, phase: phase, daemons: daemons})
	run.last, run.since = now, at
	run.fleet.tellPhase(phase)
}

// harm does the faults in their order and, where the head was lost, waits until another acts.
func (run *faultRun) harm() {
	run.firstFault = monotonic()
	steps := []faultStep{}
	if run.plan.Lose > 0 {
		steps = append(steps, faultStep{run.plan.LoseAt, run.loseDaemons})
	}
	if run.plan.KillHead {
		steps = append(steps, faultStep{run.plan.KillAt, run.loseHead})
	}
	run.carryOut(steps)
	if run.plan.KillHead {
		run.awaitHead()
	}
}

// faultStep is something to do at a moment of the plan.
type faultStep struct {
	at time.Duration
	do func()
}

func (run *faultRun) carryOut(steps []faultStep) {
	sort.SliceStable(steps, func(left, right int) bool { return steps[left].at < steps[right].at })
	for _, step := range steps {
		run.waitUntil(step.at)
		step.do()
	}
}

// loseDaemons lets a random share of the daemons fall silent.
func (run *faultRun) loseDaemons() {
	all := run.fleet.addresses(run.fleet.options.Daemons, func(Place) bool { return true })
	random := rand.New(rand.NewSource(run.fleet.options.Seed))
	random.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
	run.lost = all[:int(run.plan.Lose*float64(len(all)))]
	if len(run.lost) > 0 {
		run.fleet.order(Order{Verb: "dark", Addresses: run.lost})
	}
	run.fleet.tell("%d daemons fell silent", len(run.lost))
}

func (run *faultRun) loseHead() {
	if run.plan.Power {
		run.head.darken()
	} else {
		run.head.kill()
	}
	run.headLost = monotonic()
	run.fleet.tell("the head was lost")
}

// awaitHead waits until another core acts as head and notes the busiest stretch of messages until then.
func (run *faultRun) awaitHead() {
	counted, at, busiest := run.fleet.order(Order{Verb: "count"}), monotonic(), 0.0
	daemons := run.fleet.options.Daemons - len(run.lost)
	acts := false
	for !acts && monotonic()-run.headLost < headBound {
		pause(headPoll)
		acts = run.fleet.leader().Core.Leading
		now := monotonic()
		if now-at < countEvery && !acts {
			continue
		}
		report := run.fleet.order(Order{Verb: "count"})
		if now-at >= countEvery/2 {
			busiest = max(busiest, float64(sentBetween(counted, report))/float64(daemons)/(now-at).Seconds()*run.fleet.pace)
		}
		counted, at = report, now
	}
	run.headActs = monotonic()
	run.close(stageSilent, daemons)
	phase := &run.stages[len(run.stages)-1].phase
	phase.Figures["daemon.messages_busiest"] = busiest
	if !acts {
		phase.Notes = append(phase.Notes, fmt.Sprintf("no head acted within %v", headBound))
		return
	}
	phase.Figures["head.seconds"] = (run.headActs - run.headLost).Seconds()
}

// sentBetween is how many messages daemons sent between two reports.
func sentBetween(first, second Report) uint64 {
	return sentBy(second) - sentBy(first)
}

func sentBy(report Report) uint64 {
	total := uint64(0)
	for _, line := range report.Flows {
		if line.Way != "from cores" {
			total += line.Messages
		}
	}
	return total
}

// repair starts what was lost again at the moments of the plan.
func (run *faultRun) repair() {
	var steps []faultStep
	if run.plan.KillHead {
		steps = append(steps, faultStep{run.plan.HeadBack, run.returnHead})
	}
	if len(run.lost) > 0 {
		steps = append(steps, faultStep{run.plan.LostBack, func() {}})
	}
	run.carryOut(steps)
}

func (run *faultRun) returnHead() {
	run.head.kill()
	if err := run.fleet.startCore(run.head); err != nil {
		run.notes = append(run.notes, err.Error())
	}
}

// returnDaemons starts the lost daemons with empty memories and waits until all serve.
func (run *faultRun) returnDaemons() {
	if len(run.lost) > 0 {
		run.fleet.order(Order{Verb: "begin", Addresses: run.lost})
	}
	took, whole := run.fleet.serve(servingBound)
	if !whole {
		run.notes = append(run.notes, fmt.Sprintf("not all daemons served %v after the last return", servingBound))
	}
	phase := &run.stages[len(run.stages)-1].phase
	phase.Figures["returned.seconds"] = took.Seconds()
	// What the return itself cost is no part of the quiet after it.
	run.last, run.since = run.fleet.observe(), monotonic()
}

// phases gives each stage with what the leases and the changes say of it. The leases are those of the live
// daemons up to the return of the lost ones; settled are those of all at the end.
func (run *faultRun) phases(leases, settled []LeaseHistory, changes []ChangeRecord) []Phase {
	var phases []Phase
	for place := range run.stages {
		stage := &run.stages[place]
		histories := leases
		if stage.name == stageAfter {
			histories = settled
		}
		maps.Copy(stage.phase.Figures, leaseFigures(histories, stage.bounds))
		stage.phase.Changes = run.changesOf(stage.name, changes)
		maps.Copy(stage.phase.Figures, changeFigures(stage.phase.Changes))
		phases = append(phases, stage.phase)
	}
	degraded := &phases[len(phases)-2]
	maps.Copy(degraded.Figures, servingFigures(leases, run.firstFault, max(run.firstFault, run.headActs)))
	last := &phases[len(phases)-1]
	last.Notes = append(last.Notes, run.notes...)
	last.Figures["daemon.heap"] = float64(run.fleet.order(Order{Verb: "settle"}).Heap) / float64(max(1, run.fleet.options.Daemons))
	return phases
}

// leaseFigures tells of the watched daemons' time without a lease in a stage.
func leaseFigures(leases []LeaseHistory, bounds Interval) map[string]float64 {
	figures := map[string]float64{}
	watched, without, total, longest := 0, 0, time.Duration(0), time.Duration(0)
	for _, history := range leases {
		watched++
		mine := time.Duration(0)
		for _, gap := range history.Gaps {
			mine += gap.within(bounds)
			longest = max(longest, gap.within(bounds))
		}
		total += mine
		if mine > 0 {
			without++
		}
	}
	if watched == 0 {
		return figures
	}
	figures["lease.watched"] = float64(watched)
	figures["lease.without_share"] = float64(without) / float64(watched)
	figures["lease.without_mean"] = total.Seconds() / float64(watched)
	figures["lease.without_longest"] = longest.Seconds()
	return figures
}

// servingFigures tells how long after the first fault all watched live daemons held a lease at once, looked at from
// the moment on at which a head acted, and how many held none when the lost ones came back.
func servingFigures(leases []LeaseHistory, fault, acts time.Duration) map[string]float64 {
	open := 0
	for _, history := range leases {
		if history.Open {
			open++
		}
	}
	served := acts
	for end, found := gapAt(leases, served); found; end, found = gapAt(leases, served) {
		served = end
	}
	return map[string]float64{"serves.seconds": (served - fault).Seconds(), "serves.open": float64(open)}
}

// gapAt gives the latest end of the gaps in which a moment lies.
func gapAt(leases []LeaseHistory, moment time.Duration) (end time.Duration, found bool) {
	for _, history := range leases {
		for _, gap := range history.Gaps {
			if gap.From <= moment && moment < gap.To && gap.To > end {
				end, found = gap.To, true
			}
		}
	}
	return end, found
}

// ChangeRecord is one change that an operator sent: when, counted from the first one, and how it ended.
type ChangeRecord struct {
	At      float64 `json:"at"`
	Seconds float64 `json:"seconds"`
	Outcome string  `json:"outcome"`
	// sent and answered are moments of the steady time.
	sent, answered time.Duration
}

// changesOf gives the changes of a stage: one that was sent before the faults and answered after their begin
// counts as of the first stage with faults.
func (run *faultRun) changesOf(name string, changes []ChangeRecord) []ChangeRecord {
	var found []ChangeRecord
	for _, change := range changes {
		if run.stageOf(change) == name {
			found = append(found, change)
		}
	}
	return found
}

func (run *faultRun) stageOf(change ChangeRecord) string {
	for place, stage := range run.stages {
		final := place == len(run.stages)-1
		if final || change.sent < stage.bounds.To && (stage.name != stageBefore || change.answered <= run.firstFault) {
			return stage.name
		}
	}
	return ""
}

// changeFigures tells how long changes took to be acknowledged, and how many were not.
func changeFigures(changes []ChangeRecord) map[string]float64 {
	figures := map[string]float64{}
	var accepted []float64
	for _, change := range changes {
		if change.Outcome == "accepted" {
			accepted = append(accepted, change.Seconds)
		} else {
			figures["changes.unsure"]++
		}
	}
	figures["changes.accepted"] = float64(len(accepted))
	if len(accepted) > 0 {
		sort.Float64s(accepted)
		figures["changes.median"], figures["changes.most"] = accepted[len(accepted)/2], accepted[len(accepted)-1]
	}
	return figures
}

// changeLog is an operator that sends a change each so often, one after another.
type changeLog struct {
	fleet   *fleet
	every   time.Duration
	stopped chan struct{}
	waiting sync.WaitGroup
	records []ChangeRecord
}

func newChangeLog(fleet *fleet, every time.Duration) *changeLog {
	log := &changeLog{fleet: fleet, every: every, stopped: make(chan struct{})}
	if every > 0 {
		log.waiting.Add(1)
		go log.run()
	}
	return log
}

func (log *changeLog) run() {
	defer log.waiting.Done()
	ticker := time.NewTicker(log.every)
	defer ticker.Stop()
	started := monotonic()
	for {
		select {
		case <-log.stopped:
			return
		case <-ticker.C:
			log.send(started)
		}
	}
}

func (log *changeLog) send(started time.Duration) {
	sent := monotonic()
	reply, took, err := log.fleet.change()
	record := ChangeRecord{At: (sent - started).Seconds(), Seconds: took.Seconds(), Outcome: reply.Outcome, sent: sent, answered: monotonic()}
	if err != nil {
		record.Outcome = "unanswered"
	}
	log.records = append(log.records, record)
	if record.Outcome != "accepted" {
		log.fleet.refresh()
	}
}

// end stops the operator and gives what became of its changes.
func (log *changeLog) end() []ChangeRecord {
	close(log.stopped)
	log.waiting.Wait()
	return log.records
}
