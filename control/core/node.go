// Package core is the control plane of one disk machine as a pure state machine: it puts together
// chain, view, claim and rumor, takes operators' orders, and hands data daemons their ticks.
package core

import (
	"math/rand"
	"reflect"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/registry"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/lease"
	"wardtray/coordination/machine"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	beatEvery     = 200 * time.Millisecond
	claimEvery    = 200 * time.Millisecond
	claimAgain    = 40 * time.Millisecond
	learnEvery    = 300 * time.Millisecond
	learnedEvery  = time.Second
	suspicion     = 700 * time.Millisecond
	sickAfter     = 700 * time.Millisecond
	keeperBound   = 3 * time.Second
	forgetBound   = 5 * time.Minute
	logLimit      = 4 << 20
	sweepEvery    = 5 * time.Second
	frozenAfter   = 500 * time.Millisecond
	maximumCohort = 64
)

// Startup is what a machine is told of itself.
type Startup struct {
	Address string
	HTTP    string
	Zone    string
	Seeds   []string
	// Founders are the addresses of the first disk machines; all must be there for the first view.
	Founders []string
	// Beat is how often runners call; 0 stands for the registry's own.
	Beat time.Duration
	// Founding tells that this is the very first start of the whole fleet. A machine whose disk was lost later
	// starts without it and never founds anything.
	Founding bool
	// Faults is how many machines may lose their disks at the same time; 1 if not told.
	Faults int
	// Staleness is for how long a data daemon may rely on a tick; 0 stands for the usual.
	Staleness time.Duration
}

// Counters are what a machine counts of its own work.
type Counters struct {
	Views, Commits, Accepted, Refused, Unknown, DiskFailures uint64
}

type peer struct {
	member *wire.Member
	beat   *wire.Beat
	heard  time.Time
	// gone tells that its process is dead for sure.
	gone bool
}

// Node is one disk machine.
type Node struct {
	startup  Startup
	self     *wire.Member
	outbox   *machine.Outbox
	random   *rand.Rand
	handlers map[reflect.Type]func(now time.Time, envelope *wire.Envelope)

	agent  *view.Agent
	chain  *chain.Chain
	holder *lease.Holder
	keeper *lease.Keeper
	rumors *gossip.Store
	cohort *peersampling.Cohort

	peers      map[string]*peer
	begun      time.Time
	lastTick   time.Time
	lastBeat   time.Time
	lastClaim  time.Time
	lastLearn  time.Time
	lastMend   time.Time
	wantSince  time.Time
	votedSince time.Time
	brokenFrom map[string]time.Time
	logged     int64
	swept      time.Time
	replacing  bool
	founding   bool
	// cleared is the last reign of which the disk says that the heads before it act no more.
	cleared    uint64
	lastCall   time.Time
	diskFailed bool
	retryDisk  time.Time
	leaving    bool
	counters   Counters
	// The committed spec as it travels, and the epoch it is of.
	packedSpec  []byte
	packedEpoch uint64

	registrar *registry.Registrar
	// The newest document that a rumor brought, without its spec.
	rumored *wire.Document
	// received is when the last message of another process came.
	received time.Time

	head  headState
	asks  map[string]*ask
	nonce uint64
}

// New restores a machine from its memory; memory.Id must be set.
func New(now time.Time, startup Startup, memory *wire.Memory, records []*wire.Record, random *rand.Rand) *Node {
	memory = proto.Clone(memory).(*wire.Memory)
	startup.Faults = max(1, startup.Faults)
	if startup.Staleness == 0 {
		startup.Staleness = Staleness
	}
	for _, record := range records {
		Replay(memory, record)
	}
	node := &Node{nonce: random.Uint64(), holder: lease.NewHolder(random.Uint64()), startup: startup, random: random, outbox: machine.NewOutbox(), begun: now, lastTick: now,
		self:  &wire.Member{Id: memory.Id, Address: startup.Address, Zone: startup.Zone, Http: startup.HTTP},
		peers: map[string]*peer{}, brokenFrom: map[string]time.Time{}, asks: map[string]*ask{}}
	node.head.daemons, node.head.refused, node.head.commits = map[string]*daemon{}, map[string]bool{}, map[uint64]time.Time{}
	node.chain = chain.New(memory.Id, memory.Document, memory.Pending, node.outbox, node.addressOf, node.onCommit)
	node.agent = view.NewAgent(now, memory.Id, memory.View, memory.Vote, node.outbox, node.resolve, node.onView)
	node.cohort = peersampling.New(&wire.CohortLine{Address: startup.Address, Zone: startup.Zone, Core: true}, startup.Seeds, node.outbox, random)
	node.rumors = gossip.New(startup.Zone, node.outbox, random, node.partners, func(time.Time, *wire.Register) {})
	node.rumored, node.registrar = &wire.Document{}, node.newRegistrar(now)
	node.table()
	if memory.Document != nil && memory.Document.Sequence > 0 {
		node.publish(now)
	}
	node.founding, node.cleared = memory.Founding, memory.Cleared
	node.keeper = lease.Restore(now, node.agent.Current(), memory.Cleared)
	if startup.Founding && !memory.Founding && node.agent.Current().Epoch == 0 {
		// A founder that is killed before there is a view must still be one when it starts again.
		node.founding, node.replacing = true, true
		node.outbox.Replace(now, node.Memory(), func(time.Time) { node.replacing, node.diskFailed = false, false })
	}
	if current := node.agent.Current(); current.Epoch > 0 {
		node.chain.Adopt(now, current)
	}
	return node
}

// Replay folds one record of the log into a memory.
func Replay(memory *wire.Memory, record *wire.Record) {
	replays := map[reflect.Type]func(){
		reflect.TypeFor[*wire.Record_Entry]():    func() { memory.Pending = append(memory.Pending, record.GetEntry()) },
		reflect.TypeFor[*wire.Record_Document](): func() { memory.Document, memory.Pending = record.GetDocument(), nil },
		reflect.TypeFor[*wire.Record_Vote]():     func() { memory.Vote = record.GetVote() },
		reflect.TypeFor[*wire.Record_View]():     func() { memory.View = record.GetView() },
		reflect.TypeFor[*wire.Record_Cleared]():  func() { memory.Cleared = record.GetCleared() },
	}
	if replay := replays[reflect.TypeOf(record.Body)]; replay != nil {
		replay()
	}
}

// Memory gives all that this machine must not forget.
func (node *Node) Memory() *wire.Memory {
	memory := &wire.Memory{Id: node.self.Id, View: node.agent.Current(), Vote: node.agent.Vote(), Founding: node.founding, Cleared: node.cleared}
	node.chain.Memory(memory)
	return memory
}

// Outbox gives what the driver has to carry out.
func (node *Node) Outbox() *machine.Outbox { return node.outbox }

// Chain, View and Counters let drivers, checkers and status pages look in.
func (node *Node) Chain() *chain.Chain { return node.chain }

// View gives the present view.
func (node *Node) View() *wire.View { return node.agent.Current() }

// Counters gives what was counted.
func (node *Node) Counters() Counters { return node.counters }

// Self gives this machine's member line.
func (node *Node) Self() *wire.Member { return node.self }

// Drain gives messages, stamped with who sends them, and writes.
func (node *Node) Drain() ([]machine.Parcel, []machine.Write) {
	parcels, writes := node.outbox.Drain()
	for _, parcel := range parcels {
		parcel.Envelope.From, parcel.Envelope.Sender, parcel.Envelope.Zone = node.self.Address, node.self.Id, node.self.Zone
		// Whoever has heard of a view acts in none before it, even while its disk is still busy with that.
		parcel.Envelope.Epoch = node.agent.Newest().Epoch
		// Digests of rumors go to everybody in turn, so that the sum of the runners needs no rounds of its own.
		if digest := parcel.Envelope.GetDigest(); digest != nil {
			digest.Runners = node.registrar.Sum()
		}
	}
	for _, write := range writes {
		if write.Record != nil {
			node.logged += int64(proto.Size(write.Record))
		}
	}
	return parcels, writes
}

func (node *Node) table() {
	node.handlers = map[reflect.Type]func(now time.Time, envelope *wire.Envelope){}
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainPass) {
		node.chain.Pass(now, envelope.Sender, body.ChainPass)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainHold) {
		node.chain.Hold(now, envelope.Sender, body.ChainHold)
		node.chain.Aligned(now, envelope.Sender, body.ChainHold)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LearnAsk) {
		// What a tail has, every member before it has, so in its own view all of it is committed; and what
		// was learned in a view counts only until the next.
		node.chain.Teach(envelope.From, body.LearnAsk)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LearnAnswer) {
		node.chain.Learned(now, body.LearnAnswer)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPrepare) {
		if node.acceptor() {
			node.agent.Prepare(now, envelope.From, body.ViewPrepare)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPromise) {
		node.agent.Promise(now, envelope.Sender, body.ViewPromise)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccept) {
		if node.acceptor() {
			node.agent.Accept(now, envelope.From, body.ViewAccept)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccepted) {
		node.agent.Accepted(now, envelope.Sender, body.ViewAccepted)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewRefused) {
		node.agent.Refused(body.ViewRefused)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewNews) {
		node.agent.Learn(now, body.ViewNews.View)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAsk) {
		node.agent.Tell(envelope.From)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ClaimAsk) {
		node.onClaimAsk(now, envelope, body.ClaimAsk)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ClaimGrant) {
		current := node.agent.Current()
		if keeps(current, envelope.Sender) {
			node.holder.Grant(now, envelope.Sender, body.ClaimGrant.View, body.ClaimGrant.Nonce, view.Majority(len(current.Keepers)))
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Beat) { node.onBeat(now, body.Beat) })
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_OperatorAsk) {
		node.onOperatorAsk(now, body.OperatorAsk)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_OperatorAnswer) {
		node.onOperatorAnswer(body.OperatorAnswer)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_TickAsk) {
		node.onTickAsk(now, envelope, body.TickAsk)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_DocumentAsk) {
		if register := node.rumors.Get(DocumentKey); register != nil && register.Epoch > body.DocumentAsk.Sequence {
			node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_Rumor{Rumor: &wire.Rumor{Registers: []*wire.Register{register}}}})
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Rumor) {
		node.rumors.Rumor(now, body.Rumor)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Digest) {
		node.rumors.Digest(now, envelope.From, envelope.Zone, body.Digest)
		// A daemon that reads a platform's list keeps no book and tells 0.
		if body.Digest.Runners != 0 {
			node.registrar.Compare(now, envelope.From, body.Digest.Runners)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerNews) {
		node.registrar.News(now, envelope.From, body.RunnerNews)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerNewsHeld) {
		node.registrar.Held(now, envelope.From, body.RunnerNewsHeld)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerDigest) {
		node.registrar.Digest(now, envelope.From, body.RunnerDigest)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnersHeard) {
		node.registrar.Heard(now, body.RunnersHeard)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Shuffle) {
		node.cohort.Shuffle(now, envelope.From, body.Shuffle)
	})
}

// on enters a handler into the table under the type of the message it takes.
func on[Body any](node *Node, handle func(now time.Time, envelope *wire.Envelope, body Body)) {
	node.handlers[reflect.TypeFor[Body]()] = func(now time.Time, envelope *wire.Envelope) {
		handle(now, envelope, envelope.Body.(Body))
	}
}

// DocumentKey names the register that carries the committed document.
const DocumentKey = "document"

// Receive takes one message.
func (node *Node) Receive(now time.Time, envelope *wire.Envelope) {
	if envelope.From != node.self.Address {
		node.received = now
	}
	node.keeper.Heard(now, envelope.Sender, envelope.Epoch)
	if handle := node.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	node.serveParked(now)
}

// Refused takes in that nobody listened at an address when it was tried at a moment: the process that was
// there is dead, since it listens for as long as it lives, and with it all that it was granted.
func (node *Node) Refused(now time.Time, address string, tried time.Time) {
	node.keeper.Refused(now, address, tried)
	node.daemonRefused(now, address, tried)
	for _, peer := range node.peers {
		if peer.member.Address == address && !peer.gone && peer.heard.Before(tried) {
			peer.gone = true
			node.lastBeat = time.Time{}
		}
	}
	node.tendBeats(now)
	node.tendView(now)
}

// Synced takes the completion of a write.
func (node *Node) Synced(now time.Time, sequence uint64) {
	node.outbox.Done(now, sequence)
	node.serveParked(now)
	node.answerWaiters(now)
}

// DiskFailed takes the news that a write could not be carried out. The machine calls itself sick
// until a whole memory has been written anew.
func (node *Node) DiskFailed(now time.Time) {
	node.counters.DiskFailures++
	// Every record asked for meanwhile fails too; if each put the next try off, there would never be one.
	if !node.diskFailed || node.replacing {
		node.retryDisk = now.Add(time.Second)
	}
	node.diskFailed, node.replacing = true, false
}

func (node *Node) sick(now time.Time) bool {
	return node.diskFailed || node.outbox.Oldest(now) > sickAfter
}

// Leave says that this machine is about to stop by order, so that the others take it out first.
func (node *Node) Leave() { node.leaving = true }

// Left tells whether this machine may stop without harm.
func (node *Node) Left() bool { return !node.chain.Inside() }

// Tick does what is due.
func (node *Node) Tick(now time.Time) {
	// Whoever was frozen has heard nobody, which says nothing about them.
	if now.Sub(node.lastTick) > frozenAfter {
		for _, peer := range node.peers {
			if !peer.gone {
				peer.heard = now
			}
		}
		node.registrar.Resume(now)
	}
	node.lastTick = now
	node.tendDisk(now)
	node.tendBeats(now)
	node.tendKeeping(now)
	node.tendClaim(now)
	node.tendView(now)
	node.chain.Tick(now)
	node.tendLearning(now)
	node.tendDirectory(now)
	node.tendDelivery(now)
	node.cohort.Tick(now)
	node.rumors.Tick(now)
	node.registrar.Tick(now)
	node.serveParked(now)
	node.answerWaiters(now)
	node.tendAsks(now)
}

// tendDisk begins a new slot when the log is long, or when the disk must be tried again.
func (node *Node) tendDisk(now time.Time) {
	if node.swept.IsZero() {
		node.swept = now
	}
	// Damage is found while this machine still knows what must be there, and not only when it starts.
	if now.Sub(node.swept) >= sweepEvery && !node.diskFailed && !node.replacing {
		node.swept = now
		node.outbox.Sweep(now)
	}
	if node.replacing || node.diskFailed && now.Before(node.retryDisk) || !node.diskFailed && node.logged < logLimit {
		return
	}
	node.replacing, node.logged, node.swept = true, 0, now
	node.outbox.Replace(now, node.Memory(), func(time.Time) { node.replacing, node.diskFailed = false, false })
}

func (node *Node) tendBeats(now time.Time) {
	if now.Sub(node.lastBeat) < beatEvery {
		return
	}
	node.lastBeat = now
	current := node.agent.Current()
	beat := &wire.Beat{Member: node.self, View: current.Epoch, Fleet: current.Fleet, Blank: current.Epoch == 0,
		Sick: node.sick(now), Synced: node.chain.Synced(), LearnedView: node.chain.LearnedView(), Leaving: node.leaving, Heard: node.heard(now)}
	for _, address := range node.coreAddresses() {
		node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: beat}})
	}
	for id, peer := range node.peers {
		if now.Sub(peer.heard) > forgetBound {
			delete(node.peers, id)
		}
	}
}

// heard lists, in order, whom this machine has heard of late.
func (node *Node) heard(now time.Time) []string {
	heard := []string{node.self.Id}
	for id, peer := range node.peers {
		if !peer.gone && now.Sub(peer.heard) < suspicion {
			heard = append(heard, id)
		}
	}
	sort.Strings(heard)
	return heard
}

// coreAddresses lists every address where a disk machine may be.
func (node *Node) coreAddresses() []string {
	found := map[string]bool{}
	for _, seed := range append(append([]string{}, node.startup.Seeds...), node.startup.Founders...) {
		found[seed] = true
	}
	for _, peer := range node.peers {
		found[peer.member.Address] = true
	}
	current := node.agent.Current()
	for _, member := range append(append([]*wire.Member{}, current.Chain...), current.Keepers...) {
		found[node.addressOf(member)] = true
	}
	for _, line := range node.cohort.Lines() {
		if line.Core {
			found[line.Address] = true
		}
	}
	delete(found, node.self.Address)
	addresses := make([]string, 0, len(found))
	for address := range found {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}

func (node *Node) onBeat(now time.Time, beat *wire.Beat) {
	if beat.Member == nil || beat.Member.Id == "" || beat.Member.Id == node.self.Id || len(node.peers) >= maximumCohort && node.peers[beat.Member.Id] == nil {
		return
	}
	current := node.agent.Current()
	// A machine of another fleet, say one that was founded apart in a test, is none of ours.
	if beat.Fleet != "" && current.Fleet != "" && beat.Fleet != current.Fleet {
		return
	}
	// An address has one machine; a new identity there means that the old one is gone for good.
	for id, peer := range node.peers {
		if peer.member.Address == beat.Member.Address && id != beat.Member.Id {
			delete(node.peers, id)
		}
	}
	former := node.peers[beat.Member.Id]
	node.peers[beat.Member.Id] = &peer{member: beat.Member, beat: beat, heard: now}
	// Whoever hears less or is about to leave may have to be replaced at once.
	if former != nil && (len(former.beat.Heard) != len(beat.Heard) || former.beat.Leaving != beat.Leaving || former.beat.Sick != beat.Sick) {
		defer node.tendView(now)
	}
	if beat.View < current.Epoch {
		node.agent.Tell(beat.Member.Address)
	}
}

func (node *Node) resolve(id string) string {
	if id == node.self.Id {
		return node.self.Address
	}
	if peer := node.peers[id]; peer != nil {
		return peer.member.Address
	}
	return ""
}

func (node *Node) addressOf(member *wire.Member) string {
	if address := node.resolve(member.Id); address != "" {
		return address
	}
	return member.Address
}

func keeps(current *wire.View, id string) bool { return holds(current.Keepers, id) }

func holds(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}

// acceptor tells whether this machine may vote on the next view.
func (node *Node) acceptor() bool {
	current := node.agent.Current()
	return current.Epoch == 0 && node.founding && node.founder(node.self.Address) || keeps(current, node.self.Id)
}

func (node *Node) founder(address string) bool {
	for _, founder := range node.startup.Founders {
		if founder == address {
			return true
		}
	}
	return false
}

func (node *Node) tendClaim(now time.Time) {
	current := node.agent.Current()
	valid := node.holder.Valid(now, current.Epoch)
	if !node.chain.Head() || now.Sub(node.lastClaim) < claimAgain || valid && now.Sub(node.lastClaim) < claimEvery {
		return
	}
	node.lastClaim = now
	nonce := node.holder.Ask(now, current.Epoch)
	for _, keeper := range current.Keepers {
		node.outbox.Send(node.addressOf(keeper), &wire.Envelope{Body: &wire.Envelope_ClaimAsk{ClaimAsk: &wire.ClaimAsk{
			View: current.Epoch, Nonce: nonce}}})
	}
}

func (node *Node) onClaimAsk(now time.Time, envelope *wire.Envelope, message *wire.ClaimAsk) {
	current := node.agent.Current()
	if message.View < current.Epoch {
		node.agent.Tell(envelope.From)
		return
	}
	if message.View != current.Epoch || !keeps(current, node.self.Id) || current.Chain[0].Id != envelope.Sender ||
		!node.keeper.Allows(now, node.agent.Voted()) {
		return
	}
	node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_ClaimGrant{ClaimGrant: &wire.ClaimGrant{
		View: message.View, Nonce: message.Nonce}}})
}

// tendKeeping seeks proof that the heads before this reign act no more, and notes on the disk that none does,
// so that a keeper that restarts may grant at once.
func (node *Node) tendKeeping(now time.Time) {
	current := node.agent.Current()
	if !keeps(current, node.self.Id) {
		return
	}
	for _, address := range node.keeper.Rivals(now) {
		node.agent.Tell(address)
	}
	if reign := node.keeper.Reign(); reign != node.cleared && node.keeper.Allows(now, false) {
		node.cleared = reign
		node.outbox.Persist(now, &wire.Record{Body: &wire.Record_Cleared{Cleared: reign}}, func(time.Time) {})
	}
}

func (node *Node) tendLearning(now time.Time) {
	current := node.agent.Current()
	if current.Epoch == 0 || node.chain.Inside() || node.leaving || len(current.Chain) == 0 || now.Sub(node.lastLearn) < learnEvery ||
		node.chain.LearnedView() == current.Epoch && now.Sub(node.lastLearn) < learnedEvery {
		return
	}
	node.lastLearn = now
	node.chain.AskToLearn(node.addressOf(current.Chain[len(current.Chain)-1]))
}

func (node *Node) onView(now time.Time, current *wire.View) {
	node.counters.Views++
	node.wantSince, node.votedSince = time.Time{}, time.Time{}
	node.brokenFrom = map[string]time.Time{}
	node.keeper.Learn(now, current)
	node.chain.Adopt(now, current)
	if current.HeadSince != node.head.reign {
		node.head.begun, node.head.reign = time.Time{}, current.HeadSince
	}
	node.failWaiters(now)
	// Neither the new head nor whoever could join should wait for a round.
	node.lastClaim, node.lastBeat, node.lastLearn = time.Time{}, time.Time{}, time.Time{}
	node.tendKeeping(now)
	node.tendClaim(now)
	node.tendBeats(now)
	node.tendLearning(now)
}

func (node *Node) onCommit(now time.Time, sequence uint64) {
	node.counters.Commits++
	if len(node.head.commits) >= 1024 {
		node.head.commits = map[uint64]time.Time{}
	}
	node.head.commits[sequence] = now
	node.publish(now)
}

// publish puts the committed document among the rumors, without what only the chain needs.
func (node *Node) publish(now time.Time) {
	document := node.chain.Committed()
	carried := &wire.Document{Sequence: document.Sequence, SpecEpoch: document.SpecEpoch, PackedSpec: node.packed(document), Directory: document.Directory}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(carried)
	if err == nil {
		node.rumors.Put(now, &wire.Register{Key: DocumentKey, Epoch: document.Sequence, Value: value}, gossip.Hops)
	}
}

// packed gives the document's spec compressed; a change of the directory alone does not compress it anew.
func (node *Node) packed(document *wire.Document) []byte {
	if node.packedSpec == nil || node.packedEpoch != document.SpecEpoch {
		node.packedEpoch, node.packedSpec = document.SpecEpoch, config.Pack(document.Spec)
	}
	return node.packedSpec
}

// partners gives whom rumors go to: the directory's daemons, the neighbours and the disk machines.
func (node *Node) partners() []gossip.Partner {
	zones := map[string]string{}
	for _, line := range node.cohort.Lines() {
		zones[line.Address] = line.Zone
	}
	for _, member := range node.chain.Committed().Directory {
		zones[member.Address] = member.Zone
	}
	for _, member := range node.agent.Current().Chain {
		zones[node.addressOf(member)] = member.Zone
	}
	delete(zones, node.self.Address)
	partners := make([]gossip.Partner, 0, len(zones))
	for address, zone := range zones {
		partners = append(partners, gossip.Partner{Address: address, Zone: zone})
	}
	sort.Slice(partners, func(left, right int) bool { return partners[left].Address < partners[right].Address })
	return partners
}
