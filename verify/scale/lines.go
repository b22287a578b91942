package scale

import (
	"fmt"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/control/node"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/registry"
	"wardtray/dataplane"
)

// The size of two years from now, and the bounds for control. A core machine is one of the 16 set aside; as no
// bound is given for it, the users' own bounds of a process stand for it.
const (
	aimDaemons         = 3500
	aimRunners         = 10000
	aimRequests        = 72000.0
	aimTokens          = 15e6
	aimPrefixes        = 4_800_000
	aimTenants         = 320
	aimModels          = 36
	aimChanges         = 37000.0 / 86400
	aimMachines        = 16
	today              = 93
	boundProcessor     = 0.034
	boundMemory        = 64 << 20
	boundBytes         = 26 << 10
	boundRecovery      = 12.0
	boundForce         = 4.0
	boundCoreProcessor = 0.7
	boundCoreMemory    = 280 << 20
	boundDataMemory    = 280 << 20
	mebibyte           = 1 << 20
)

// Series are the files of results, and what their sizes are.
var series = map[string]func(run Run) float64{
	"daemons": func(run Run) float64 { return float64(run.Daemons) },
	"late":    func(run Run) float64 { return float64(run.Daemons) },
	// Head and half of the daemons lost at once while an operator makes a change each second.
	"silent-head": func(run Run) float64 { return float64(run.Daemons) },
	"faults":      func(run Run) float64 { return float64(run.Daemons) },
	"storm":       func(run Run) float64 { return float64(run.Daemons) },
	"runners":     func(run Run) float64 { return float64(run.Runners) },
	"listed":      func(run Run) float64 { return float64(run.Runners) },
	"lanes":       func(run Run) float64 { return float64(run.Routes) },
	"award":       func(run Run) float64 { return float64(run.Runners) },
	"index":       func(run Run) float64 { return float64(run.Prefixes) },
	"spread":      func(run Run) float64 { return float64(run.Daemons) },
	"requests":    func(run Run) float64 { return run.Rate },
}

// file gives the file that holds a series: measurements of the request path are in one.
var files = map[string]string{"award": "path", "index": "path", "spread": "path", "requests": "path", "event": "path"}

func fileOf(name string) string {
	if file, found := files[name]; found {
		return file
	}
	return name
}

// line is one row of the page: a figure of a role, how it grows, and what that comes to.
type line struct {
	role, what, unit string
	series, phase    string
	// value takes the figure out of a run.
	value func(run Run) (float64, bool)
	// aim is the size to which it is extrapolated; none for the today column where 0.
	aim, today float64
	bound      float64
	// least tells that the bound is one from below.
	least bool
	// design names the section of the page with the design that would carry it, where one is needed.
	design    string
	mechanism string
}

func (run Run) figure(phase, name string) (float64, bool) {
	for _, held := range run.Phases {
		if held.Name == phase && !held.Upset {
			value, found := held.Figures[name]
			return value, found
		}
	}
	return 0, false
}

func figure(phase, name string, scale float64) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		value, found := run.figure(phase, name)
		return value * scale, found
	}
}

// added gives what one change of a phase added to a daemon's figure, by its difference to the quiet.
func added(phase, name, count string, scale float64) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		changes, found := run.figure(phase, count)
		with, there := run.figure(phase, name)
		without, before := run.figure("quiet", name)
		if !found || !there || !before || changes == 0 {
			return 0, false
		}
		for _, held := range run.Phases {
			if held.Name == phase {
				return (with - without) * held.Seconds / max(1, run.Slow) / changes * scale, true
			}
		}
		return 0, false
	}
}

// withoutGossip gives a daemon's bytes, sent and from cores, but for documents and what else gossip carry, in KiB.
func withoutGossip(phase string) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		all, found := run.figure(phase, "daemon.bytes_all")
		gossip, _ := run.figure(phase, "kind.Rumor.bytes")
		return (all - gossip) / 1024, found
	}
}

// headBytesEach gives what the head sends for each daemon in a second of changes without faults, in KiB. An upset
// phase counts: the documents that the head sends are what upsets it.
func headBytesEach(run Run) (float64, bool) {
	for _, phase := range run.Phases {
		if sent, found := phase.Figures["head.bytes_out"]; found && phase.Name == stageBefore {
			return sent / 1024 / float64(run.Daemons), true
		}
	}
	return 0, false
}

// snapshotTime gives the processor time of one look that the request path takes after a step.
func snapshotTime(run Run) (float64, bool) {
	for _, phase := range run.Phases {
		if steps, found := phase.Steps["snapshot"]; phase.Name == "quiet" && found {
			return steps.Microseconds, true
		}
	}
	return 0, false
}

// atFullSpeed leaves out runs whose daemons' clocks were slowed: what passes between the cores' clocks and theirs
// is no result then.
func atFullSpeed(value func(run Run) (float64, bool)) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		if run.Slow > 1 {
			return 0, false
		}
		return value(run)
	}
}

// withChanges leaves out runs in which no operator made a change each second.
func withChanges(value func(run Run) (float64, bool)) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		if run.ChangeEvery != 1 {
			return 0, false
		}
		return value(run)
	}
}

// longestUnacknowledged gives for how long, from the loss of head and daemons on, an operator went without an
// acknowledgement: from sending a change to the next answer that acknowledges one, this or a later one.
func longestUnacknowledged(run Run) (float64, bool) {
	longest, since, waiting, found := 0.0, 0.0, false, false
	for _, phase := range run.Phases {
		if phase.Name != stageSilent && phase.Name != stageDegraded && phase.Name != stageAfter {
			continue
		}
		for _, change := range phase.Changes {
			if !waiting {
				since, waiting = change.At, true
			}
			longest, found = max(longest, change.At+change.Seconds-since), true
			waiting = change.Outcome != "accepted"
		}
	}
	return longest, found
}

// busiestCore gives the greatest figure of any core machine in a phase.
func busiestCore(phase string, of func(core Core) float64) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		most, found := 0.0, false
		for _, held := range run.Phases {
			if held.Name != phase || held.Upset {
				continue
			}
			for _, core := range held.Cores {
				most, found = max(most, of(core)), true
			}
		}
		return most, found
	}
}

// statusBytes gives what so many daemons tell of all runners in their status.
func statusBytes(daemons float64) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		each, found := run.figure("award", "status.bytes_per_runner")
		return each * float64(run.Runners) * daemons / mebibyte, found
	}
}

// lines are the rows whose figures are fitted.
var lines = []line{
	{role: "data daemon", what: "control state held (heap)", unit: "MiB", series: "late", phase: "quiet", value: figure("quiet", "daemon.heap", 1.0/mebibyte), aim: aimDaemons, today: today, bound: boundMemory / mebibyte,
		design: designDocument, mechanism: "the directory held whole; carried by its size, a directory in parts would make it level"},
	{role: "data daemon", what: "runners held (heap)", unit: "MiB", series: "runners", phase: "quiet", value: figure("quiet", "daemon.heap", 1.0/mebibyte), aim: aimRunners, today: today, bound: boundMemory / mebibyte,
		design: designRegistry, mechanism: "the registry held whole by every daemon; a daemon needs only the runners of the pools and zones it serves"},
	{role: "data daemon", what: "messages sent in quiet", unit: "/s", series: "daemons", phase: "quiet", value: figure("quiet", "daemon.messages", 1), aim: aimDaemons, today: today,
		mechanism: "a tick every 0.3 s, digests, shuffles: level by design"},
	{role: "data daemon", what: "bytes in quiet, sent and from cores", unit: "KiB/s", series: "daemons", phase: "quiet", value: figure("quiet", "daemon.bytes_all", 1.0/1024), aim: aimDaemons, today: today, bound: boundBytes / 1024,
		mechanism: "level by design"},
	{role: "data daemon", what: "bytes in quiet over the border of a region", unit: "KiB/s", series: "daemons", phase: "quiet", value: figure("quiet", "daemon.bytes_other_region", 1.0/1024), aim: aimDaemons, today: today,
		mechanism: "ticks go to one head, wherever it stands; heads of regions would keep them in"},
	{role: "data daemon", what: "bytes for one change", unit: "KiB", series: "daemons", phase: "change", value: added("change", "daemon.bytes_all", "acknowledged.count", 1.0/1024), aim: aimDaemons, today: today,
		design: designDocument, mechanism: "the whole document, directory included, goes to each daemon a few times; news of one item would be level"},
	{role: "data daemon", what: "bytes for 37,000 changes a day", unit: "KiB/s", series: "daemons", phase: "change", value: added("change", "daemon.bytes_all", "acknowledged.count", aimChanges/1024), aim: aimDaemons, today: today, bound: boundBytes / 1024,
		design: designDocument, mechanism: "as above: changes of named items on the wire, the directory apart from the spec"},
	{role: "data daemon", what: "of it over the border of a region", unit: "KiB/s", series: "daemons", phase: "change", value: added("change", "daemon.bytes_other_region", "acknowledged.count", aimChanges/1024), aim: aimDaemons, today: today,
		mechanism: "rumors cross borders one time of three; a region's first daemons could take the document over once"},
	{role: "data daemon", what: "processor time in quiet", unit: "% of a core", series: "daemons", phase: "quiet", value: figure("quiet", "daemon.processor", 100), aim: aimDaemons, today: today, bound: boundProcessor * 100,
		mechanism: "level by design; the hollow process's own time is in it"},
	{role: "data daemon", what: "processor time for 37,000 changes a day, 20 lanes", unit: "% of a core", series: "daemons", phase: "change", value: added("change", "daemon.processor", "acknowledged.count", 100*aimChanges), aim: aimDaemons, today: today, bound: boundProcessor * 100,
		design: designDocument, mechanism: "each daemon decodes the directory and parses the spec anew for each change"},
	{role: "data daemon", what: "processor time for 37,000 changes a day, by lanes (60 daemons)", unit: "% of a core", series: "lanes", phase: "change", value: added("change", "daemon.processor", "acknowledged.count", 100*aimChanges), aim: aimTenants, bound: boundProcessor * 100,
		design: designDocument, mechanism: "whole specs sent and parsed for a change of one item; changes of named items would be level"},
	{role: "data daemon", what: "messages sent while no head acts, in the busiest half second", unit: "/s", series: "silent-head", phase: stageSilent, value: atFullSpeed(figure(stageSilent, "daemon.messages_busiest", 1)), aim: aimDaemons, today: today,
		mechanism: "questions for a lease to the keepers and the rest of the chain: by their number, not by the fleet's"},
	{role: "data daemon", what: "messages sent while no head acts", unit: "/s", series: "silent-head", phase: stageSilent, value: atFullSpeed(figure(stageSilent, "daemon.messages", 1)), aim: aimDaemons, today: today,
		mechanism: "as above, the first 0.4 s included, in which the head is still waited for"},
	{role: "data daemon", what: "bytes of it without documents, sent and from cores", unit: "KiB/s", series: "silent-head", phase: stageSilent, value: atFullSpeed(withoutGossip(stageSilent)), aim: aimDaemons, today: today, bound: boundBytes / 1024,
		mechanism: "as above"},
	{role: "data daemon", what: "bytes with a change each second and half of the daemons dark, sent and from cores", unit: "KiB/s", series: "silent-head", phase: stageDegraded, value: atFullSpeed(withChanges(figure(stageDegraded, "daemon.bytes_all", 1.0/1024))), aim: aimDaemons, today: today, bound: boundBytes / 1024,
		design: designDocument, mechanism: "the whole document, directory included, two times a change; a change each second is 2.3 times what is aimed at"},
	{role: "data daemon", what: "processor time while no head acts", unit: "% of a core", series: "silent-head", phase: stageSilent, value: atFullSpeed(figure(stageSilent, "daemon.processor", 100)), aim: aimDaemons, today: today, bound: boundProcessor * 100,
		mechanism: "as the messages"},
	{role: "data daemon", what: "longest time without a lease while no head acts", unit: "s", series: "silent-head", phase: stageSilent, value: atFullSpeed(figure(stageSilent, "lease.without_longest", 1)), aim: aimDaemons, today: today,
		mechanism: "a keeper that has voted for the next view confirms nothing until its head acts"},
	{role: "data daemon", what: "all live daemons serve at once after head and half were lost", unit: "s", series: "silent-head", phase: stageDegraded, value: atFullSpeed(figure(stageDegraded, "serves.seconds", 1)), aim: aimDaemons, today: today, bound: boundRecovery,
		mechanism: "the next head's view, and its first lease to each; with all daemons on one machine it is also that machine's time"},
	{role: "head", what: "another acts after the head lost its power", unit: "s", series: "silent-head", phase: stageSilent, value: atFullSpeed(figure(stageSilent, "head.seconds", 1)), aim: aimDaemons, today: today, bound: boundRecovery,
		mechanism: "0.7 s without a heartbeat, a view by Paxos, the old claim's term: among the cores alone"},
	{role: "head", what: "longest without an acknowledgement once head and half are lost", unit: "s", series: "silent-head", phase: stageDegraded, value: atFullSpeed(longestUnacknowledged), aim: aimDaemons, today: today, bound: boundRecovery,
		mechanism: "a new head, then the leases of the one before it, however many daemons are dark; judged as a recovery"},
	{role: "core machine", what: "messages received while no head acts, the busiest", unit: "/s", series: "silent-head", phase: stageSilent, value: atFullSpeed(busiestCore(stageSilent, func(core Core) float64 { return core.Received })), aim: aimDaemons, today: today,
		design: designTicks, mechanism: "each live daemon asks each keeper"},
	{role: "core machine", what: "processor time while no head acts, the busiest", unit: "cores", series: "silent-head", phase: stageSilent, value: atFullSpeed(busiestCore(stageSilent, func(core Core) float64 { return core.Processor })), aim: aimDaemons, today: today, bound: boundCoreProcessor,
		design: designTicks, mechanism: "as above"},
	{role: "core machine", what: "memory with head and half of the daemons lost, the greatest", unit: "MiB", series: "silent-head", phase: stageDegraded, value: atFullSpeed(busiestCore(stageDegraded, func(core Core) float64 { return float64(core.Resident) / mebibyte })), aim: aimDaemons, today: today, bound: boundCoreMemory / mebibyte,
		design: designTicks, mechanism: "two connections with their buffers for each daemon"},
	{role: "head", what: "bytes sent with a change each second, for each daemon", unit: "KiB/s", series: "silent-head", phase: stageBefore, value: atFullSpeed(withChanges(headBytesEach)), aim: aimDaemons, today: today,
		design: designDocument, mechanism: "the head calls who lacks a change after 40 ms, before rumors made their first round, and so sends the document, which names every daemon, to nearly every daemon: with the square over the fleet"},
	{role: "data daemon", what: "a look at the lease and the runners (snapshot)", unit: "µs", series: "silent-head", phase: "quiet", value: snapshotTime, aim: aimDaemons, today: today,
		mechanism: "the keepers' confirmations: by their number"},
	{role: "head", what: "processor time in quiet", unit: "cores", series: "daemons", phase: "quiet", value: figure("quiet", "head.processor", 1), aim: aimDaemons, today: today, bound: boundCoreProcessor,
		design: designTicks, mechanism: "one machine answers every daemon's tick; heads of zones that hold one tick for all their daemons would divide it"},
	{role: "head", what: "of it what does not grow with how often daemons ask", unit: "cores", series: "daemons", phase: "quiet", value: figure("quiet", "head.processor.own", 1), aim: aimDaemons, today: today, bound: boundCoreProcessor, design: designTicks,
		mechanism: "each of its rounds looks up every daemon in the whole directory: with the square"},
	{role: "head", what: "of it what daemons' questions take", unit: "cores", series: "daemons", phase: "quiet", value: figure("quiet", "head.processor.asked", 1), aim: aimDaemons, today: today, bound: boundCoreProcessor, design: designTicks,
		mechanism: "one question each 0.3 s of every daemon"},
	{role: "head", what: "messages received in quiet", unit: "/s", series: "daemons", phase: "quiet", value: figure("quiet", "head.received", 1), aim: aimDaemons, today: today,
		design: designTicks, mechanism: "as above"},
	{role: "head", what: "bytes sent in quiet", unit: "KiB/s", series: "daemons", phase: "quiet", value: figure("quiet", "head.bytes_out", 1.0/1024), aim: aimDaemons, today: today,
		design: designTicks, mechanism: "each grant carries the whole view; its epoch would do"},
	{role: "head", what: "memory", unit: "MiB", series: "daemons", phase: "quiet", value: figure("quiet", "head.resident", 1.0/mebibyte), aim: aimDaemons, today: today, bound: boundCoreMemory / mebibyte,
		design: designTicks, mechanism: "two connections with their buffers for each daemon"},
	{role: "chain member", what: "memory", unit: "MiB", series: "daemons", phase: "quiet", value: figure("quiet", "middle.resident", 1.0/mebibyte), aim: aimDaemons, today: today, bound: boundCoreMemory / mebibyte,
		design: designTicks, mechanism: "daemons shuffle with every core now and then, and keep the connections"},
	{role: "keeper and chain member", what: "processor time in quiet", unit: "cores", series: "daemons", phase: "quiet", value: figure("quiet", "middle.processor", 1), aim: aimDaemons, today: today, bound: boundCoreProcessor,
		mechanism: "claims and beats among few cores: level but for the daemons' shuffles"},
	{role: "tail", what: "processor time in quiet", unit: "cores", series: "daemons", phase: "quiet", value: figure("quiet", "tail.processor", 1), aim: aimDaemons, today: today, bound: boundCoreProcessor,
		mechanism: "as the middle's; reads are few"},
	{role: "registry", what: "processor time of the busiest core with all runners calling once a second", unit: "cores", series: "runners", phase: "quiet",
		value: func(run Run) (float64, bool) {
			most, found := 0.0, false
			for _, role := range []string{"head", "middle", "tail"} {
				value, there := run.figure("quiet", role+".processor")
				most, found = max(most, value), found || there
			}
			return most, found
		}, aim: aimRunners, today: today, bound: boundCoreProcessor,
		design: designRegistry, mechanism: "calls are shared by the cores; each tells the others which it heard. More cores that only take calls divide it"},
	{role: "registry", what: "bytes between cores and of news, sent by the head", unit: "KiB/s", series: "runners", phase: "quiet", value: figure("quiet", "head.bytes_out", 1.0/1024), aim: aimRunners, today: today,
		design: designRegistry, mechanism: "lists of the calls heard, every half beat, to every core"},
	{role: "registry", what: "bytes at a daemon for five runners that leave and five that come", unit: "KiB", series: "runners", phase: "runners", value: added("runners", "daemon.bytes_all", "replaced.runners", 5.0/1024), aim: aimRunners, today: today,
		design: designRegistry, mechanism: "only changes travel, but sums that differ for a moment make two books tell each other all versions"},
	{role: "registry", what: "a runner's leaving acknowledged", unit: "s", series: "runners", phase: "runners", value: figure("runners", "leave.most", 1), aim: aimRunners, today: today, bound: 2,
		mechanism: "told straight to every daemon; answered after 0.4 s at the latest"},
	{role: "zone reader", what: "bytes at a daemon where a list is read for each zone (60 daemons)", unit: "KiB/s", series: "listed", phase: "quiet", value: figure("quiet", "daemon.bytes_all", 1.0/1024), aim: aimRunners, bound: boundBytes / 1024,
		design: designLists, mechanism: "the whole list goes through the zone at each reading, every 0.4 s; the registry's news of changes in its place"},
	{role: "all", what: "a change is in force everywhere, simulated time", unit: "s", series: "spread", phase: "spread", value: figure("spread", "all", 1), aim: aimDaemons, today: today, bound: boundForce,
		mechanism: "rumors need a round more for each tenfold"},
	{role: "head", what: "a change is acknowledged, simulated time", unit: "s", series: "spread", phase: "spread", value: figure("spread", "acknowledged", 1), aim: aimDaemons, today: today, bound: boundForce,
		mechanism: "waits for every daemon with a running tick: 1.65 s more where one has just died"},
	{role: "head", what: "time for each accepted change while four operators race", unit: "s", series: "storm", phase: "storm",
		value: func(run Run) (float64, bool) {
			rate, found := run.figure("storm", "accepted.per_second")
			return 1 / max(rate, 1e-3), found
		}, aim: aimDaemons, today: today, bound: 1 / aimChanges, design: designDocument,
		mechanism: "one after another, each a whole document to all; the bound is the mean distance of 37,000 changes a day"},
	{role: "head", what: "a change is acknowledged with a daemon just dead", unit: "s", series: "faults", phase: "churn", value: figure("churn", "acknowledged.most", 1), aim: aimDaemons, today: today, bound: boundForce,
		mechanism: "the dead one's tick has to run out; 85 failures a day and 2,200 restarts make it rare"},
	{role: "head", what: "one daemon comes into the directory", unit: "s", series: "faults", phase: "churn", value: figure("churn", "newcomer.seconds", 1), aim: aimDaemons, today: today, bound: 86400.0 / (2200 + 2*85) / 2,
		design: designDocument, mechanism: "one entry a change, each a whole document to all; a zone's 233 come in one by one"},
	{role: "data daemon", what: "part of the lesser side that serves while regions are apart", unit: "of 1", series: "faults", phase: "cut", value: figure("cut", "lesser.serving", 1), aim: aimDaemons, today: today, bound: 1, least: true, design: designCut,
		mechanism: "a daemon serves only while most of the whole directory, or the head, vouches for it"},
	{role: "data daemon", what: "part of the greater side that serves while regions are apart", unit: "of 1", series: "faults", phase: "cut", value: figure("cut", "greater.serving", 1), aim: aimDaemons, today: today, bound: 1, least: true,
		mechanism: "keeps the head"},
	{role: "data daemon", what: "all serve again once a lost rack is back", unit: "s", series: "faults", phase: "rack", value: figure("rack", "recovered.seconds", 1), aim: aimDaemons, today: today, bound: boundRecovery,
		mechanism: "a daemon that restarts asks the head for a tick and the document"},
	{role: "data daemon", what: "all serve again once a lost zone and its core are back", unit: "s", series: "faults", phase: "zone", value: figure("zone", "recovered.seconds", 1), aim: aimDaemons, today: today,
		mechanism: "not judged: with all daemons on one machine the time is that machine's, under what everybody asks everybody"},
	{role: "data daemon", what: "all serve again once a lost head is back", unit: "s", series: "faults", phase: "head", value: figure("head", "recovered.seconds", 1), aim: aimDaemons, today: today,
		mechanism: "not judged: with all daemons on one machine the time is that machine's, under what everybody asks everybody"},
	{role: "chain", what: "whole again after its tail and a zone are back", unit: "s", series: "faults", phase: "zone", value: figure("zone", "chain.seconds", 1), aim: aimDaemons, today: today, bound: boundRecovery,
		mechanism: "a single vote; does not depend on the daemons"},
	{role: "operator's client", what: "one daemon's answer to a status question", unit: "MiB", series: "award", phase: "award", value: statusBytes(1), aim: aimRunners, bound: 64,
		mechanism: "a line for each runner; the client takes 64 MiB"},
	{role: "operator's client", what: "the answers of all daemons to one status question", unit: "MiB", series: "award", phase: "award", value: statusBytes(aimDaemons), aim: aimRunners,
		mechanism: "every daemon tells of every runner; a zone's sum told by one of its daemons would do"},
	{role: "data daemon", what: "award: processor time of one among all runners", unit: "µs", series: "award", phase: "award", value: figure("award", "microseconds", 1), aim: aimRunners, today: 18,
		design: designAward, mechanism: "every runner of the fleet is copied and sorted for each award; a book kept by pool would look at 278"},
	{role: "data daemon", what: "award: processor time at 20.6 requests a second", unit: "% of a core", series: "award", phase: "award", value: figure("award", "microseconds", aimRequests/aimDaemons/1e4), aim: aimRunners, today: 18, bound: 10,
		design: designAward, mechanism: "as above; the bound of a tenth of a core is ours"},
	{role: "data daemon", what: "index: memory for the prefixes", unit: "MiB", series: "index", phase: "index", value: figure("index", "bytes", 1.0/mebibyte), aim: aimPrefixes, bound: boundDataMemory / mebibyte,
		design: designIndex, mechanism: "each key has a list of its own; homes of openings by a hash would let a daemon keep its share"},
	{role: "data daemon", what: "index: a lookup of six keys", unit: "µs", series: "index", phase: "index", value: figure("index", "score.microseconds", 1), aim: aimPrefixes,
		mechanism: "a hash and six look-ups: level"},
}

// limit is a bound that stands in the code, against what the size asks of it.
type limit struct {
	role, what string
	asked, has float64
	unit       string
	design     string
	mechanism  string
}

// The designs that would carry what does not hold; each is a section of the page.
const (
	designCut       = "Regions that serve apart"
	designTicks     = "Ticks for a zone at once"
	designDocument  = "News of one item"
	designLists     = "Changes in place of lists"
	designRegistry  = "Runners known where they are used"
	designReports   = "Reports where work goes"
	designAward     = "A book by pool"
	designIndex     = "Homes for openings"
	designAllowance = "Allowances lent"
	designOutcomes  = "Outcomes kept for a time"
)

var limits = []limit{
	{"head", "daemons that one head keeps ticks for", aimDaemons, node.MaximumDaemons, "daemons", designTicks, "heads of zones"},
	{"registry", "runners that a book remembers", aimRunners, registry.MaximumRunners, "runners", designRegistry, "a greater bound costs memory in proportion; books by pool"},
	{"data daemon", "prefixes in an index", aimPrefixes, kvblock.DefaultKeys, "keys", designIndex, "each daemon keeps the share whose home is near it"},
	{"head", "operations whose outcome is remembered for a day", 37000, chain.MaximumOutcomes, "operations", designOutcomes, "outcomes kept for a time instead of a number, on disk"},
	{"all", "registers of rumors", 1 + aimMachines, gossip.MaximumEntries, "registers", "", "the document and what a zone tells"},
	{"data daemon", "requests that wait at a daemon for one pool, one second's worth", aimRequests / aimDaemons, scheduler.QueueLength, "requests", "", "a second of the daemon's whole share fits many times"},
	{"data daemon", "reports read from runners by each daemon in our own speech, in which no answer brings one", aimRunners / dataplane.PressureEvery.Seconds(), boundBytes / 300, "reads/s", designReports, "only the runners that a daemon sends to, or their own word with each answer; the bound is 26 KiB/s at 300 bytes a read"},
	// Why 12: a word counts for so much longer as there are more daemons than that.
	{"data daemon", "reports read from runners by each daemon where a word counts for 2 s", aimRunners / (2 * aimDaemons / 12.0), boundBytes / 300, "reads/s", designReports, "the more daemons, the less often each asks"},
	{"data daemon", "repeats that a daemon may send in a window, one of 36 pools: its part of the requests", 1, retrybudget.Default.Ratio * aimRequests / aimDaemons / aimModels * (10.0), "repeats", designAllowance, "a part below one is none; allowances lent by the zone"},
}

// describe names the aim.
func describe() string {
	return fmt.Sprintf("%d daemons, %d runners, %.0f requests and %.0f tokens a second, %.2f changes a second, a restart every %v",
		aimDaemons, aimRunners, aimRequests, aimTokens, aimChanges, (time.Duration(86400/2200) * time.Second))
}
