// Package pressure is what one daemon knows of the runners: who is listed, how loaded each seems,
// how far a warming one may be used, and which are not to be used for now. State is in shards by
// runner, each under its own lock.
package load

import (
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"wardtray/apierror"
	"wardtray/features"
	"wardtray/wire"
)

const (
	shardCount = 8
	// Ramp is the step by which more daemons, and more work of each, reach a warming runner.
	Ramp = 400 * time.Millisecond
	// Settled is after how long a new runner counts as warm.
	Settled = 6 * time.Second
	// GraceAtStart is how long after its own start a daemon takes ready runners to be warm ones.
	GraceAtStart = 3 * time.Second
	reportBound  = 3 * time.Second
	leastPause   = 300 * time.Millisecond
	mostPause    = 5 * time.Second
	smoothing    = 0.05
	initialSlots = 4
	// missesBound is how many reports in a row may fail before a runner counts as lost.
	missesBound = 3
	// refusalsBound is how many refused questions in a row show that a service's runners give no reports, and askAgain
	// after what time one is asked again all the same.
	refusalsBound = 2
	askAgain      = time.Minute
	// drainedBound is for how long a runner that drained is remembered after it was last listed so.
	drainedBound = time.Hour
)

// Report is what a runner last said of itself.
type Report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Tokens is how much of its memory is in use and can't give way, and Room how much it has, both in
	// tokens; Room 0: not told.
	Tokens int `json:"tokens,omitempty"`
	Room   int `json:"room,omitempty"`
}

// Runner is one runner as seen at a moment; it is a copy.
type Runner struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
	Service string `json:"Service"`
	State   string `json:"State"`
	Slots   int    `json:"Slots"`
	// Load is how much work the runner seems to have: ours, and that of others by its own reports.
	Load float64 `json:"Load"`
	// Sure is the same, but by the last report alone where that tells of a runner less than half full.
	Sure float64 `json:"Sure"`
	// InFlight is our own work on it.
	InFlight int `json:"InFlight"`
	// Reported is when its newest word came, zero if none did; OthersWaiting is how many requests of others waited
	// for their first event by that.
	Reported      time.Time `json:"Told"`
	OthersWaiting int       `json:"OthersWaiting"`
	// Tokens and Room are its memory as last told; Room 0: not told.
	Tokens int `json:"Tokens"`
	Room   int `json:"Room"`
	// Limit is how much work of ours it may have now; it is low while the runner warms.
	Limit   int  `json:"Limit"`
	Warming bool `json:"Warming"`
	// Usable is false while the runner is leaving, dark or refusing.
	Usable bool   `json:"Usable"`
	Reason string `json:"Reason"`
	// Until is the moment up to which it is left alone, if it is.
	Until time.Time `json:"Until"`
}

// ReasonLeaving is the reason of a runner that is draining or no longer listed.
const ReasonLeaving = "leaving"

type entry struct {
	line     *wire.Runner
	listed   bool
	first    time.Time
	ready    time.Time
	settled  bool
	report   Report
	reported time.Time
	// external is the work of all others on the runner, smoothed over reports.
	external float64
	// others is the same by the last report alone.
	others   float64
	inFlight int
	// unanswered is how much of our own work has no event yet, othersWaiting how much of others' by the last word.
	unanswered, othersWaiting int
	pause                     time.Duration
	paused                    time.Time
	reason                    string
	// misses counts the reports that failed since the last good one.
	misses int
}

type shard struct {
	mutex   sync.Mutex
	entries map[string]*entry
	// drained is when runners were last listed as draining.
	drained map[string]time.Time
}

// Table is all of them.
type Table struct {
	self    string
	started time.Time
	shards  [shardCount]*shard
	// Without names the mechanisms that are switched off.
	Without features.Set
	// services are what is known of the services by their names.
	servicesMutex sync.Mutex
	services      map[string]service
}

// service is what is known of whether a service's runners need to be asked for their load, and answer that.
type service struct {
	// used tells that this daemon has sent it work, and tells that its runners' answers tell their load.
	used, tells bool
	// refusals are how many questions were refused in a row, the last of them at refused.
	refusals int
	refused  time.Time
}

// NewTable makes an empty book for the daemon at an address.
func NewTable(now time.Time, self string) *Table {
	book := &Table{self: self, started: now, services: map[string]service{}}
	for place := range book.shards {
		book.shards[place] = &shard{entries: map[string]*entry{}, drained: map[string]time.Time{}}
	}
	return book
}

func (book *Table) shard(runner string) *shard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(runner)) // Writing to a hash can't fail.
	return book.shards[hash.Sum32()%shardCount]
}

// List takes the platform's list; it gives the runners that are gone for good.
func (book *Table) List(now time.Time, runners []*wire.Runner) (gone []string) {
	listed := map[string]bool{}
	for _, line := range runners {
		listed[line.RunnerId] = true
		book.listRunner(now, line)
	}
	for _, shard := range book.shards {
		gone = append(gone, shard.sweep(now, listed)...)
	}
	sort.Strings(gone)
	return gone
}

// listRunner takes one line of the platform's list.
func (book *Table) listRunner(now time.Time, line *wire.Runner) {
	shard := book.shard(line.RunnerId)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.entries[line.RunnerId]
	if known == nil {
		known = &entry{first: now}
		// A daemon that has just begun sees every runner for the first time, which does not make them cold.
		known.settled = now.Sub(book.started) < GraceAtStart && line.State == "ready"
		shard.entries[line.RunnerId] = known
	}
	// A runner that has begun to drain comes back under another identity only; a list that says otherwise
	// is an older one.
	if line.State == "draining" {
		shard.drained[line.RunnerId] = now
	}
	if _, drains := shard.drained[line.RunnerId]; drains && line.State != "draining" {
		line = &wire.Runner{RunnerId: line.RunnerId, Address: line.Address, Zone: line.Zone, Service: line.Service, State: "draining"}
	}
	known.line, known.listed = line, true
	if line.State == "ready" && known.ready.IsZero() {
		known.ready = now
	}
}

// sweep forgets those that drained long ago, and the runners that are not listed and have no request in flight, which it
// gives.
func (shard *shard) sweep(now time.Time, listed map[string]bool) (gone []string) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for id, at := range shard.drained {
		if now.Sub(at) > drainedBound {
			delete(shard.drained, id)
		}
	}
	for id, known := range shard.entries {
		if listed[id] {
			continue
		}
		known.listed = false
		if known.inFlight == 0 {
			delete(shard.entries, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// ReportGiven takes a runner's answer to a question for its report.
func (book *Table) ReportGiven(now time.Time, runner string, report Report) {
	name := ""
	book.change(runner, func(known *entry) { name = known.line.Service })
	book.changeService(name, func(known *service) { known.refusals = 0 })
	book.Reported(now, runner, report)
}

// Reported takes a runner's word of its pressure.
func (book *Table) Reported(now time.Time, runner string, report Report) {
	book.change(runner, func(known *entry) {
		// A runner that registered told its slots then, and its reports need not say them again.
		if report.Slots == 0 {
			report.Slots = max(known.report.Slots, int(known.line.Slots))
		}
		if report.Slots < 1 || report.Slots > 4096 || report.Running < 0 || report.Waiting < 0 {
			return
		}
		// Every daemon reads the same old report. Whoever believed it whole would go, with all others,
		// wherever it was empty a moment ago; smoothed, it tells who is busy without drawing a crowd.
		others := max(0, float64(report.Running+report.Waiting-known.inFlight))
		if now.Sub(known.reported) >= reportBound {
			known.external = others
		}
		known.external += smoothing * (others - known.external)
		own := known.unanswered
		if report.Room == 0 && own > 0 {
			// What an answer's head tells no longer counts the request that is being answered.
			own--
		}
		known.othersWaiting = max(0, report.Waiting-own)
		// The head of an answer tells nothing of memory; what a report told of it holds on.
		if report.Room == 0 {
			report.Tokens, report.Room = known.report.Tokens, known.report.Room
		}
		known.report, known.reported, known.misses, known.others = report, now, 0, others
	})
}

// ReportRefused takes in that a runner answered a question for its report with a refusal. That is no sign of its being
// ill: a service whose runners give no reports is not asked again for a while.
func (book *Table) ReportRefused(now time.Time, runner string) {
	name := ""
	book.change(runner, func(known *entry) {
		name, known.misses = known.line.Service, 0
		known.reported = now
	})
	book.changeService(name, func(known *service) { known.refusals, known.refused = known.refusals+1, now })
}

func (book *Table) changeService(name string, do func(known *service)) {
	book.servicesMutex.Lock()
	defer book.servicesMutex.Unlock()
	known := book.services[name]
	do(&known)
	book.services[name] = known
}

// worthAsking tells whether a service's runners are worth asking for their load: they answer that, this daemon has work
// for them, and their answers to requests don't tell it. Where nothing but a report ever tells the load, all are.
func (book *Table) worthAsking(now time.Time, name string, reportsAlone bool) bool {
	book.servicesMutex.Lock()
	defer book.servicesMutex.Unlock()
	known := book.services[name]
	if known.refusals >= refusalsBound && now.Sub(known.refused) < askAgain {
		return false
	}
	return reportsAlone || known.used && !known.tells
}

// AnswerTold takes a runner's word of its load in an answer to a request.
//
// Why its service is not asked for it any more: a report says little of a moment later, among many daemons less than the
// answers do, and each question has its price; docs/decisions.md.
func (book *Table) AnswerTold(now time.Time, runner string, report Report) {
	name := ""
	book.change(runner, func(known *entry) { name = known.line.Service })
	book.changeService(name, func(known *service) { known.tells = true })
	book.Reported(now, runner, report)
}

// Stale gives the runners whose newest word, be it a report or an answer's head, is older than a bound: the listed
// ones, and those no longer listed that still have work of ours, whose loss must be learned of as well.
//
// Those of services that are not worth asking are left out; reportsAlone says that nothing but a report tells a load.
func (book *Table) Stale(now time.Time, bound time.Duration, reportsAlone bool) []Runner {
	var runners []Runner
	for _, shard := range book.shards {
		shard.mutex.Lock()
		for _, known := range shard.entries {
			if (known.listed || known.inFlight > 0) && now.Sub(known.reported) >= bound && book.worthAsking(now, known.line.Service, reportsAlone) {
				runners = append(runners, book.view(now, known, nil))
			}
		}
		shard.mutex.Unlock()
	}
	sort.Slice(runners, func(left, right int) bool { return runners[left].ID < runners[right].ID })
	return runners
}

// Missed takes in that a runner's report could not be had, which pauses its use; it tells whether the
// runner is to be taken for lost: another answers at its address, it is no longer listed either, or
// several reports in a row have failed.
func (book *Table) Missed(now time.Time, runner string, why apierror.Code) (lost bool) {
	book.change(runner, func(known *entry) {
		known.misses++
		book.eject(now, known, string(why))
		lost = why == apierror.WrongIdentity || !known.listed || known.misses >= missesBound
	})
	return lost
}

// fail leaves a runner alone, longer each time.
func (known *entry) fail(now time.Time, reason string) {
	known.pause = min(mostPause, max(leastPause, 2*known.pause))
	known.paused, known.reason = now.Add(known.pause), reason
}

func (book *Table) change(runner string, do func(known *entry)) {
	shard := book.shard(runner)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if known := shard.entries[runner]; known != nil {
		do(known)
	}
}

// Begin takes up one place on a runner; Finish gives it back.
func (book *Table) Begin(runner string) {
	name := ""
	book.change(runner, func(known *entry) {
		known.inFlight++
		known.unanswered++
		name = known.line.Service
	})
	book.changeService(name, func(known *service) { known.used = true })
}

// Answered notes that the first event of one of our requests has come.
func (book *Table) Answered(runner string) {
	book.change(runner, func(known *entry) { known.unanswered-- })
}

// Finish gives a place back; answered tells whether Answered was noted for it.
func (book *Table) Finish(runner string, answered bool) {
	book.change(runner, func(known *entry) {
		known.inFlight--
		if !answered {
			known.unanswered--
		}
	})
}

// Failed pauses the use of a runner, longer each time; Served ends that.
func (book *Table) Failed(now time.Time, runner, reason string) {
	book.change(runner, func(known *entry) { book.eject(now, known, reason) })
}

func (book *Table) eject(now time.Time, known *entry, reason string) {
	if !book.Without[features.Ejection] {
		known.fail(now, reason)
	}
}

// Served notes that a runner did its work.
func (book *Table) Served(runner string) {
	book.change(runner, func(known *entry) { known.pause, known.paused = 0, time.Time{} })
}

// All gives every listed runner as it seems now, ordered by id. daemons are the addresses among
// which a warming runner's work is divided.
func (book *Table) All(now time.Time, daemons []string) []Runner {
	var runners []Runner
	for _, shard := range book.shards {
		shard.mutex.Lock()
		for _, known := range shard.entries {
			runners = append(runners, book.view(now, known, daemons))
		}
		shard.mutex.Unlock()
	}
	sort.Slice(runners, func(left, right int) bool { return runners[left].ID < runners[right].ID })
	return runners
}

// One gives one runner as it seems now.
func (book *Table) One(now time.Time, runner string, daemons []string) (found Runner, known bool) {
	book.change(runner, func(held *entry) { found, known = book.view(now, held, daemons), true })
	return found, known
}

func (book *Table) view(now time.Time, known *entry, daemons []string) Runner {
	runner := Runner{ID: known.line.RunnerId, Address: known.line.Address, Zone: known.line.Zone, Service: known.line.Service,
		State: known.line.State, Slots: initialSlots, InFlight: known.inFlight, Usable: true, Reported: known.reported,
		OthersWaiting: known.othersWaiting, Tokens: known.report.Tokens, Room: known.report.Room}
	if known.line.Slots > 0 {
		runner.Slots = int(known.line.Slots)
	}
	if known.report.Slots > 0 {
		runner.Slots = known.report.Slots
	}
	runner.Load, runner.Sure = float64(known.inFlight), float64(known.inFlight)
	if now.Sub(known.reported) < reportBound {
		runner.Load += known.external
		runner.Sure += known.external
		// Smoothed reports go on for seconds after a crowd has gone. A report of a runner that is nearly
		// full is too old to be believed, or all daemons would rush to it.
		if known.others <= float64(runner.Slots)/2 {
			runner.Sure += min(0, known.others-known.external)
		}
	}
	runner.Limit = runner.Slots + max(1, runner.Slots/2)
	runner.Warming, runner.Limit = book.warming(now, known, runner.Limit, daemons)
	states := map[string]bool{"ready": true, "cold": true}
	if !known.listed || !states[known.line.State] {
		runner.Usable, runner.Reason = false, ReasonLeaving
	} else if now.Before(known.paused) {
		runner.Usable, runner.Reason, runner.Until = false, known.reason, known.paused
	}
	return runner
}

// warming limits the work on a new runner: one daemon with one request at first, then more of both.
func (book *Table) warming(now time.Time, known *entry, limit int, daemons []string) (bool, int) {
	cold := known.line.State == "cold"
	if known.settled && !cold || book.Without[features.WarmUp] {
		return false, limit
	}
	steps := 0
	if !cold && !known.ready.IsZero() {
		steps = int(now.Sub(known.ready) / Ramp)
		if now.Sub(known.ready) >= Settled {
			known.settled = true
			return false, limit
		}
	}
	// All daemons reckon the same few from the runner's name, so that together they send no more than few can.
	if rank(known.line.RunnerId, book.self, daemons) > steps {
		return true, 0
	}
	return true, min(limit, 1+steps/4)
}

// rank gives a daemon's place in the order in which daemons may use a runner.
func rank(runner, self string, daemons []string) int {
	mine, before := weight(runner, self), 0
	for _, daemon := range daemons {
		other := weight(runner, daemon)
		if daemon != self && (other > mine || other == mine && daemon < self) {
			before++
		}
	}
	return before
}

func weight(runner, daemon string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(runner + "\x00" + daemon))
	// FNV alone leaves names that differ in the last letter near each other.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}
