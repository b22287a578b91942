package node

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"wardtray/control/durability"
	"wardtray/control/failuredetector"
	"wardtray/control/membership"
	"wardtray/control/reconfiguration"
	"wardtray/control/timing"
	"wardtray/control/viewchange"
	"wardtray/coordination/chain"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// members composes the mechanisms that concern the control machines: agreement on views, the chain that holds the
// history, and the state of the view's members and of other machines that could become members.
type members struct {
	settings Settings
	self     *wire.Member
	// incarnation is a random number that differs between the processes of this machine over time.
	incarnation uint64
	outbox      *statemachine.Outbox

	chain        *chain.Chain
	agent        *view.Agent
	disk         *durability.Disk
	detector     *failuredetector.Detector
	proposer     *viewchange.Proposer
	partialView  *peersampling.PartialView
	decommission reconfiguration.Decommission
	// initialSynced is the sequence that this machine had synced when it adopted the current view.
	initialSynced uint64
}

// callbacks are the functions that the members call.
type callbacks struct {
	// onView runs when a new view is agreed on, and onCommit when this machine learns that a sequence is committed.
	onView   func(now time.Time, current *wire.View)
	onCommit func(now time.Time, sequence uint64)
	// snapshot returns the complete state that the disk must hold, beyond that of the members.
	snapshot func() *wire.DurableState
}

// newMembers restores the members from the state and the records on the disk.
func newMembers(now time.Time, settings Settings, incarnation uint64, state *wire.DurableState, records []*wire.Record,
	random *rand.Rand, callbacks callbacks) *members {
	bounds, outbox := timing.BoundsFor(settings.Limits), statemachine.NewOutbox()
	self := &wire.Member{Id: state.Id, Address: settings.Address, Zone: settings.Zone, Http: settings.HTTP}
	detector := failuredetector.New(now, self, bounds.Suspicion, bounds.Pause)
	members := &members{settings: settings, self: self, incarnation: incarnation, outbox: outbox, detector: detector}
	members.disk = durability.New(outbox, records, bounds.WriteTimeout, callbacks.snapshot)
	members.chain = chain.New(self.Id, state.Document, state.Pending, outbox, detector.AddressOf, callbacks.onCommit)
	members.chain.RestoreIncomplete(state.Incomplete)
	members.agent = view.NewAgent(now, self.Id, state.View, state.AcceptorState, outbox, detector.Resolve,
		callbacks.onView)
	planner := reconfiguration.NewPlanner(bounds.LinkTimeout)
	members.proposer = viewchange.New(now, viewchange.Settings{Founders: settings.Founders, Founding: state.Founding,
		Suspicion: bounds.Suspicion, Stagger: bounds.Stagger}, self, members.agent, planner, random)
	descriptor := &wire.PeerDescriptor{Address: self.Address, Zone: self.Zone, Core: true}
	members.partialView = peersampling.New(descriptor, settings.Seeds, outbox, random)
	return members
}

// adopt handles a view that was newly agreed on or restored from the disk.
func (members *members) adopt(now time.Time, current *wire.View) {
	members.chain.Adopt(now, current)
	members.initialSynced = members.chain.Synced()
}

// facts returns what this machine knows at this moment about the members and the other control machines.
func (members *members) facts(now time.Time) *reconfiguration.Facts {
	return &reconfiguration.Facts{Now: now, View: members.agent.Current(), Detector: members.detector,
		Faults: members.settings.Faults,
		Local: reconfiguration.Local{Member: members.self, Unhealthy: members.disk.IsUnhealthy(now),
			Decommissioning: members.decommission.IsStarted(), Incomplete: members.chain.Incomplete(),
			Synced: members.chain.Synced(), InitialSynced: members.initialSynced,
			LearnedView: members.chain.LearnedView()}}
}

// propose proposes a view if one is due.
func (members *members) propose(now time.Time) { members.proposer.Tick(members.facts(now)) }

// handleHeartbeat handles another machine's heartbeat.
func (members *members) handleHeartbeat(now time.Time, heartbeat *wire.Heartbeat) {
	current := members.agent.Current()
	accepted, changed := members.detector.HandleHeartbeat(now, current.Fleet, heartbeat)
	if !accepted {
		return
	}
	if heartbeat.View < current.Epoch {
		members.agent.SendView(heartbeat.Member.Address)
	}
	// A machine whose reachable processes or health changed, or that is about to stop, may have to be replaced at once.
	if changed {
		members.propose(now)
	}
}

// sendHeartbeats sends a heartbeat, if one is due, to every address at which another control machine may be. unleased
// returns the daemons that hold no lease granted by this machine as head.
func (members *members) sendHeartbeats(now time.Time, unleased func(now time.Time) []string) {
	if !members.detector.TakeHeartbeat(now) {
		return
	}
	facts := members.facts(now)
	heartbeat := &wire.Heartbeat{Member: members.self, View: facts.View.Epoch, Fleet: facts.View.Fleet,
		Blank: facts.View.Epoch == 0, Unhealthy: facts.Local.Unhealthy, Synced: facts.Local.Synced,
		LearnedView: facts.Local.LearnedView, Decommissioning: facts.Local.Decommissioning,
		Reachable: members.detector.Reachable(now), UnleasedDaemons: unleased(now), Incomplete: facts.Local.Incomplete,
		Incarnation: members.incarnation}
	for _, address := range members.addresses() {
		members.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}})
	}
	members.detector.Forget(now)
}

// hearsMajority reports whether this machine hears a majority of the chain members and acceptors; it counts itself if
// it is one of them. Before the first view it reports whether it hears another machine or is the only founder.
func (members *members) hearsMajority(now time.Time) bool {
	if members.agent.Current().Epoch == 0 {
		return len(members.settings.Founders) <= 1 || len(members.detector.Peers()) > 0
	}
	return members.facts(now).HearsMajority()
}

// allStateIncarnations reports whether the heartbeats of all members of the view state an incarnation. Program versions
// without reservations state none.
func (members *members) allStateIncarnations() bool {
	current := members.agent.Current()
	for _, member := range membership.Join(current.Chain, current.Acceptors) {
		incarnation, _ := members.detector.Incarnation(member.Id)
		if member.Id != members.self.Id && incarnation == 0 {
			return false
		}
	}
	return true
}

// addresses returns the sorted addresses at which other control machines may be.
func (members *members) addresses() []string {
	found := map[string]bool{}
	for _, addresses := range [][]string{members.settings.Seeds, members.settings.Founders} {
		for _, address := range addresses {
			found[address] = true
		}
	}
	for _, peer := range members.detector.Peers() {
		found[peer.Member.Address] = true
	}
	current := members.agent.Current()
	for _, member := range membership.Join(current.Chain, current.Acceptors) {
		found[members.detector.AddressOf(member)] = true
	}
	for _, descriptor := range members.partialView.Peers() {
		if descriptor.Core {
			found[descriptor.Address] = true
		}
	}
	delete(found, members.self.Address)
	return slices.Sorted(maps.Keys(found))
}
