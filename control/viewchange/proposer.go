// Package viewchange decides when a process proposes a view: the first one, one that this process voted for without
// learning the outcome, or the one that reconfiguration derives. Package reconfiguration decides what the next view
// contains, and the view agent (package view) runs the agreement.
package viewchange

import (
	"encoding/hex"
	"math/rand"
	"slices"
	"sort"
	"time"

	"wardtray/control/membership"
	"wardtray/control/reconfiguration"
	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// foundingDelay is the time after their start for which the founders other than the first leave the proposal of the
	// first view to that one.
	foundingDelay = 5 * time.Second
	// fleetNameBytes is the length in bytes of a fleet's random name, before hex encoding.
	fleetNameBytes = 8
)

// Settings configures a proposer.
type Settings struct {
	// Founders holds the addresses of the processes that must all be up and blank for the first view.
	Founders []string
	// Founding permits this process to take part in the first view.
	Founding bool
	// Suspicion is the time after the process's start during which a missing heartbeat is no evidence of a failure.
	Suspicion time.Duration
	// Stagger is the time that an acceptor waits for each live acceptor before it in the view's order.
	Stagger time.Duration
}

// Proposer proposes views, one acceptor after the other so that they rarely compete.
type Proposer struct {
	settings Settings
	self     *wire.Member
	agent    *view.Agent
	planner  *reconfiguration.Planner
	random   *rand.Rand

	started      time.Time
	wantedSince  time.Time
	votedSince   time.Time
	lastProposal time.Time
}

// New returns a proposer for a process that starts now.
func New(now time.Time, settings Settings, self *wire.Member, agent *view.Agent, planner *reconfiguration.Planner,
	random *rand.Rand) *Proposer {
	return &Proposer{settings: settings, self: self, agent: agent, planner: planner, random: random, started: now}
}

// IsFounding reports whether this process may take part in the first view.
func (proposer *Proposer) IsFounding() bool { return proposer.settings.Founding }

// MayVote reports whether this process votes on the next view: on the first one as a founder, on any other as an
// acceptor of the current view.
func (proposer *Proposer) MayVote() bool {
	current := proposer.agent.Current()
	return current.Epoch == 0 && proposer.settings.Founding && proposer.isFounder(proposer.self.Address) ||
		membership.IsAcceptor(current, proposer.self.Id)
}

func (proposer *Proposer) isFounder(address string) bool {
	return slices.Contains(proposer.settings.Founders, address)
}

// Reset discards the state of the previous view.
func (proposer *Proposer) Reset() {
	proposer.wantedSince, proposer.votedSince = time.Time{}, time.Time{}
	proposer.planner.Reset()
}

// Tick proposes a view if one is due.
func (proposer *Proposer) Tick(facts *reconfiguration.Facts) {
	if proposer.agent.Busy(facts.Now) {
		return
	}
	current := facts.View
	if current.Epoch == 0 {
		proposer.bootstrap(facts)
		return
	}
	if !membership.IsAcceptor(current, proposer.self.Id) {
		return
	}
	if proposer.agent.Voted() {
		proposer.finishVote(facts)
		return
	}
	proposer.votedSince = time.Time{}
	// A process that has just started has not received heartbeats yet, so missing ones are no evidence of a failure.
	if facts.Now.Sub(proposer.started) < proposer.settings.Suspicion {
		return
	}
	proposer.proposeNext(facts)
}

// finishVote proposes again the view that this acceptor voted for. It grants no leases while the outcome of its vote is
// unknown, so some acceptor must complete the agreement.
func (proposer *Proposer) finishVote(facts *reconfiguration.Facts) {
	now := facts.Now
	if proposer.votedSince.IsZero() {
		proposer.votedSince = now
	}
	if now.Sub(proposer.votedSince) >= proposer.delay(facts)+proposer.settings.Stagger {
		proposer.votedSince = now
		proposer.agent.Propose(now, proposer.agent.AcceptorState().Value)
	}
}

// proposeNext proposes the planner's next view, if the current one needs a change.
func (proposer *Proposer) proposeNext(facts *reconfiguration.Facts) {
	now := facts.Now
	wanted := proposer.planner.Plan(facts)
	if wanted == nil {
		proposer.wantedSince = time.Time{}
		return
	}
	if proposer.wantedSince.IsZero() {
		proposer.wantedSince = now
	}
	isDue := now.Sub(proposer.wantedSince) >= proposer.delay(facts)
	if isDue && now.Sub(proposer.lastProposal) >= proposer.settings.Stagger {
		proposer.lastProposal = now
		proposer.agent.Propose(now, wanted)
	}
}

// delay returns the time for which this acceptor waits for the live acceptors before it; zero for the first live one.
func (proposer *Proposer) delay(facts *reconfiguration.Facts) time.Duration {
	rank := time.Duration(0)
	for _, acceptor := range facts.View.Acceptors {
		if acceptor.Id == proposer.self.Id {
			break
		}
		if facts.Detector.IsAlive(facts.Now, acceptor.Id) {
			rank++
		}
	}
	return rank * proposer.settings.Stagger
}

// bootstrap proposes the first view once every founder is up and blank.
func (proposer *Proposer) bootstrap(facts *reconfiguration.Facts) {
	now := facts.Now
	if !proposer.MayVote() || now.Sub(proposer.lastProposal) < proposer.settings.Stagger {
		return
	}
	founders := proposer.presentFounders(facts)
	if len(founders) != len(proposer.settings.Founders) {
		return
	}
	// One proposer is enough; the others propose only if its proposals have not succeeded within foundingDelay.
	if founders[0].Id != proposer.self.Id && now.Sub(proposer.started) < foundingDelay {
		return
	}
	proposer.lastProposal = now
	proposer.agent.Bootstrap(now, &wire.View{Epoch: 1, Fleet: proposer.fleetName(), Chain: founders,
		Acceptors:   founders[:min(len(founders), facts.AcceptorCount())],
		MinReplicas: facts.MinReplicas(0, len(founders)), HeadTerm: 1}, founders)
}

// presentFounders returns the known founders, sorted by address. It returns nil if one of them is not blank or was not
// heard within the suspicion time.
func (proposer *Proposer) presentFounders(facts *reconfiguration.Facts) []*wire.Member {
	founders := []*wire.Member{proposer.self}
	for _, peer := range facts.Detector.Peers() {
		if !proposer.isFounder(peer.Member.Address) {
			continue
		}
		if !peer.Heartbeat.Blank || !facts.Detector.WasSeenRecently(facts.Now, peer) {
			return nil
		}
		founders = append(founders, peer.Member)
	}
	sort.Slice(founders, func(left, right int) bool { return founders[left].Address < founders[right].Address })
	return founders
}

// fleetName returns a random name for a new fleet.
func (proposer *Proposer) fleetName() string {
	name := make([]byte, fleetNameBytes)
	for index := range name {
		name[index] = byte(proposer.random.Intn(256))
	}
	return hex.EncodeToString(name)
}
