package controller

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/gossip"
	"wardtray/wire"
)

// dispute is since when words are not relied on, and when the last of them came.
type dispute struct {
	since, last time.Time
}

// over takes in one more such word; it tells whether they have gone on for so long that it counts after all.
// A word that comes long after the last one begins anew, for in between there was nobody to learn from.
func (dispute *dispute) over(now time.Time) bool {
	if now.Sub(dispute.last) > disputeGap {
		dispute.since = now
	}
	dispute.last = now
	return now.Sub(dispute.since) >= learnBound
}

func (director *Director) listKey() string { return "z/" + director.startup.Zone + "/runners" }

func (director *Director) onList(now time.Time, register *wire.Register) {
	list := &wire.RunnerList{}
	if proto.Unmarshal(register.Value, list) != nil {
		return
	}
	if !director.duty.Take(register.Epoch, register.Writer) {
		director.counters.OldLists++
		return
	}
	director.listHeard, director.runners = now, list.Runners
}

// tendDuty gives signs of life where this daemon may be next, and has the platform's list read
// where it is this daemon's duty or where nobody else seems to do it.
func (director *Director) tendDuty(now time.Time) {
	if director.startup.Registered {
		return
	}
	if now.Sub(director.lastBeat) >= beatEvery && director.duty.Candidate(now, beatingCount) {
		director.lastBeat = now
		director.beats++
		key := "z/" + director.startup.Zone + "/beat/" + director.startup.Address
		// Others remember an earlier life of this daemon, whose last sign of life must be outdone; no clock tells by how much.
		if held := director.rumors.Get(key); held != nil && (held.Epoch > director.beatEpoch || held.Epoch == director.beatEpoch && held.Count >= director.beats) {
			director.beatEpoch = held.Epoch + 1
		}
		director.rumors.Put(now, &wire.Register{Key: key,
			Epoch: director.beatEpoch, Count: director.beats, Writer: director.startup.Address}, 2)
	}
	if director.polling || now.Sub(director.lastPoll) < pollEvery {
		return
	}
	_, mine := director.duty.Mine(now)
	if mine || now.Sub(director.listHeard) > listBound {
		director.lastPoll, director.polling, director.wantsPoll = now, true, true
	}
}

// tendRunners has a daemon that has just begun ask which runners there are, and forgets those long gone.
func (director *Director) tendRunners(now time.Time) {
	if !director.startup.Registered {
		return
	}
	director.registry.Prune(now)
	if director.learned || now.Sub(director.lastLearn) < learnEvery {
		return
	}
	director.lastLearn = now
	if seeds := director.startup.Seeds; len(seeds) > 0 {
		director.registry.Ask(now, seeds[director.random.Intn(len(seeds))])
	}
}

// compareRunners takes in the sum of the runners that another process knows, and asks for what is missing.
func (director *Director) compareRunners(now time.Time, from string, sum uint64) {
	if director.startup.Registered {
		director.registry.Compare(now, from, sum)
	}
}

// agrees tells whether the word of a process that knows runners of such a sum lets this daemon award work.
// A daemon that has just begun, or was cut off, knows neither who came nor who left meanwhile, and must
// learn it before it awards again; one that awards already learns it beside that.
func (director *Director) agrees(now time.Time, from string, sum uint64, dispute *dispute) bool {
	if !director.startup.Registered || sum == director.registry.Sum() || now.Before(director.leasedUntil()) {
		return true
	}
	// While many runners come at once two sums are seldom alike; that all of the other's were learned a
	// moment ago is as good.
	if director.teacher == from && now.Sub(director.taught) < taughtBound {
		return true
	}
	director.registry.Insist(now, from)
	return dispute.over(now)
}

// onRunnersLearned asks for a tick anew once it is learned what stood against the last one.
func (director *Director) onRunnersLearned(now time.Time, from string, news *wire.RunnerNews) {
	if !news.Answer {
		return
	}
	director.learned, director.teacher, director.taught = true, from, now
	if !now.Before(director.Until(now)) && len(director.view.Chain) > 0 && director.view.Chain[0].Address == from {
		director.askTicks(now, []string{from})
	}
}

// WantsPoll tells the driver, once, to read the platform's list and hand it to Polled.
func (director *Director) WantsPoll() bool {
	wants := director.wantsPoll
	director.wantsPoll = false
	return wants
}

// Polled takes the platform's list; failed tells that it could not be read, which changes nothing.
func (director *Director) Polled(now time.Time, runners []*wire.Runner, failed bool) {
	director.polling = false
	director.counters.Polls++
	if failed {
		return
	}
	epoch, mine := director.duty.Mine(now)
	if !mine {
		// Read for itself because no news came; others must not take it for the duty's result.
		director.runners = runners
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.RunnerList{Runners: runners})
	if err != nil {
		return
	}
	held := director.rumors.Get(director.listKey())
	director.rumors.Put(now, &wire.Register{Key: director.listKey(), Epoch: epoch, Count: held.GetCount() + 1,
		Writer: director.startup.Address, Value: value}, gossip.Hops)
}
