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

func (controller *Controller) listKey() string { return "z/" + controller.settings.Zone + "/runners" }

func (controller *Controller) onList(now time.Time, register *wire.GossipEntry) {
	list := &wire.RunnerList{}
	if proto.Unmarshal(register.Value, list) != nil {
		return
	}
	if !controller.election.Take(register.Epoch, register.Writer) {
		controller.counters.OldLists++
		return
	}
	controller.listHeard, controller.runners = now, list.Runners
}

// tendElection gives signs of life where this daemon may be next, and has the platform's list read
// where it is this daemon's duty or where nobody else seems to do it.
func (controller *Controller) tendElection(now time.Time) {
	if controller.settings.Registered {
		return
	}
	if now.Sub(controller.lastHeartbeat) >= heartbeatEvery && controller.election.Candidate(now, beatingCount) {
		controller.lastHeartbeat = now
		controller.heartbeats++
		key := "z/" + controller.settings.Zone + "/beat/" + controller.settings.Address
		// Others remember an earlier life of this daemon, whose last sign of life must be outdone; no clock tells by how much.
		if held := controller.gossip.Get(key); held != nil && (held.Epoch > controller.heartbeatEpoch || held.Epoch == controller.heartbeatEpoch && held.Count >= controller.heartbeats) {
			controller.heartbeatEpoch = held.Epoch + 1
		}
		controller.gossip.Put(now, &wire.GossipEntry{Key: key,
			Epoch: controller.heartbeatEpoch, Count: controller.heartbeats, Writer: controller.settings.Address}, 2)
	}
	if controller.polling || now.Sub(controller.lastPoll) < pollEvery {
		return
	}
	_, mine := controller.election.Mine(now)
	if mine || now.Sub(controller.listHeard) > listBound {
		controller.lastPoll, controller.polling, controller.wantsPoll = now, true, true
	}
}

// tendRunners has a daemon that has just begun ask which runners there are, and forgets those long gone.
func (controller *Controller) tendRunners(now time.Time) {
	if !controller.settings.Registered {
		return
	}
	controller.registry.Prune(now)
	if controller.learned || now.Sub(controller.lastLearn) < learnEvery {
		return
	}
	controller.lastLearn = now
	if seeds := controller.settings.Seeds; len(seeds) > 0 {
		controller.registry.Ask(now, seeds[controller.random.Intn(len(seeds))])
	}
}

// compareRunners takes in the sum of the runners that another process knows, and asks for what is missing.
func (controller *Controller) compareRunners(now time.Time, from string, sum uint64) {
	if controller.settings.Registered {
		controller.registry.Compare(now, from, sum)
	}
}

// agrees tells whether the word of a process that knows runners of such a sum lets this daemon award work.
// A daemon that has just begun, or was cut off, knows neither who came nor who left meanwhile, and must
// learn it before it awards again; one that awards already learns it beside that.
func (controller *Controller) agrees(now time.Time, from string, sum uint64, dispute *dispute) bool {
	if !controller.settings.Registered || sum == controller.registry.Checksum() || now.Before(controller.leasedUntil()) {
		return true
	}
	// While many runners come at once two sums are seldom alike; that all of the other's were learned a
	// moment ago is as good.
	if controller.teacher == from && now.Sub(controller.taught) < taughtBound {
		return true
	}
	controller.registry.Insist(now, from)
	return dispute.over(now)
}

// onRunnersLearned asks for a tick anew once it is learned what stood against the last one.
func (controller *Controller) onRunnersLearned(now time.Time, from string, news *wire.RunnerUpdate) {
	if !news.Response {
		return
	}
	controller.learned, controller.teacher, controller.taught = true, from, now
	if !now.Before(controller.Until(now)) && len(controller.view.Chain) > 0 && controller.view.Chain[0].Address == from {
		controller.askTicks(now, []string{from})
	}
}

// WantsPoll tells the driver, once, to read the platform's list and hand it to Polled.
func (controller *Controller) WantsPoll() bool {
	wants := controller.wantsPoll
	controller.wantsPoll = false
	return wants
}

// Polled takes the platform's list; failed tells that it could not be read, which changes nothing.
func (controller *Controller) Polled(now time.Time, runners []*wire.Runner, failed bool) {
	controller.polling = false
	controller.counters.Polls++
	if failed {
		return
	}
	epoch, mine := controller.election.Mine(now)
	if !mine {
		// Read for itself because no news came; others must not take it for the duty's result.
		controller.runners = runners
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.RunnerList{Runners: runners})
	if err != nil {
		return
	}
	held := controller.gossip.Get(controller.listKey())
	controller.gossip.Put(now, &wire.GossipEntry{Key: controller.listKey(), Epoch: epoch, Count: held.GetCount() + 1,
		Writer: controller.settings.Address, Value: value}, gossip.Hops)
}
