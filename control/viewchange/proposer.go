// Package viewchange decides when a process proposes a view: the first one, one whose vote was left open, or the one
// that reconfiguration derives. What is proposed and agreed on is the work of reconfiguration and of the view agent.
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
	// foundingDelay is for how long the founders other than the first leave the proposal to that one.
	foundingDelay = 5 * time.Second
	// fleetBytes is the length of a fleet's random name.
	fleetBytes = 8
)

// Settings are what a proposer goes by.
type Settings struct {
	// Founders are the addresses of the processes that must all be there, and blank, for the first view.
	Founders []string
	// Founding permits this process to take part in the first view.
	Founding bool
	// Suspicion is how long after its start a process has heard from nobody without that saying anything.
	Suspicion time.Duration
	// Stagger is how long each acceptor lets those before it propose first.
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

// MayVote reports whether this process is an acceptor of the next view.
func (proposer *Proposer) MayVote() bool {
	current := proposer.agent.Current()
	return current.Epoch == 0 && proposer.settings.Founding && proposer.isFounder(proposer.self.Address) ||
		membership.IsAcceptor(current, proposer.self.Id)
}

func (proposer *Proposer) isFounder(address string) bool {
	return slices.Contains(proposer.settings.Founders, address)
}

// Reset starts over in a new view.
func (proposer *Proposer) Reset() {
	proposer.wantedSince, proposer.votedSince = time.Time{}, time.Time{}
	proposer.planner.Reset()
}

// Tick proposes a view where that is due.
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
	// Whoever has just started has heard nobody yet, which says nothing about them.
	if facts.Now.Sub(proposer.started) < proposer.settings.Suspicion {
		return
	}
	proposer.proposeNext(facts)
}

// finishVote proposes again what this acceptor voted for: it grants no leases meanwhile, so a vote left open must be
// brought to its end by somebody.
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

// proposeNext proposes the view that should follow, if the present one is not right.
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

// delay returns how long this acceptor lets others go first: not at all for the first live one in order.
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

// bootstrap proposes the first view once every founder is there and blank.
func (proposer *Proposer) bootstrap(facts *reconfiguration.Facts) {
	now := facts.Now
	if !proposer.MayVote() || now.Sub(proposer.lastProposal) < proposer.settings.Stagger {
		return
	}
	founders := proposer.presentFounders(facts)
	if len(founders) != len(proposer.settings.Founders) {
		return
	}
	// One proposer is enough; the others follow only if its attempts fail for long.
	if founders[0].Id != proposer.self.Id && now.Sub(proposer.started) < foundingDelay {
		return
	}
	proposer.lastProposal = now
	proposer.agent.Bootstrap(now, &wire.View{Epoch: 1, Fleet: proposer.fleetName(), Chain: founders,
		Acceptors:   founders[:min(len(founders), facts.AcceptorCount())],
		MinReplicas: facts.MinReplicas(0, len(founders)), HeadTerm: 1}, founders)
}

// presentFounders returns the founders in the order of their addresses; none if one that is known is not blank or has
// fallen silent.
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

// fleetName draws a name for a new fleet.
func (proposer *Proposer) fleetName() string {
	name := make([]byte, fleetBytes)
	for index := range name {
		name[index] = byte(proposer.random.Intn(256))
	}
	return hex.EncodeToString(name)
}
