package node

import (
	"math/rand"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/control/directory"
	"wardtray/control/leadership"
	"wardtray/control/timing"
	"wardtray/coordination/lease"
	"wardtray/wire"
)

// daemons composes the leases and the directory, which serve the data daemons: the head grants leases, an acceptor
// confirms that a daemon's document is current, and every machine distributes the document.
type daemons struct {
	members *members

	leadership *leadership.Leadership
	grantor    *leadership.Grantor
	// witness tracks what this machine, as an acceptor, has confirmed to daemons.
	witness   *lease.Witness
	confirmer *daemonlease.Confirmer
	leases    *daemonlease.Leases
	quotas    *daemonlease.Quotas

	directory *directory.Directory
	updater   *directory.Updater
	learner   *directory.Learner
}

// newDaemons returns the daemons' part of a machine that has just started. The nonce identifies its first request for
// the leader's lease; clearedTerm is the term that its disk records as cleared (leadership.Grantor).
func newDaemons(now time.Time, members *members, nonce, clearedTerm uint64, random *rand.Rand) *daemons {
	agent, history, outbox, addressOf := members.agent, members.chain, members.outbox, members.detector.AddressOf
	settings, self := members.settings, members.self
	daemons := &daemons{members: members}
	daemons.directory = directory.New(self, agent, history, outbox, random, members.partialView, addressOf)
	daemons.leases = daemonlease.NewLeases(history, outbox, settings.DaemonLease, agent.Current(), nonce)
	daemons.quotas = daemonlease.NewQuotas(settings.Quotas, timing.BoundsFor(settings.Limits).QuotaTerm)
	daemons.witness = lease.NewWitness(daemons.leases.Length())
	daemons.confirmer = daemonlease.NewConfirmer(self.Id, agent, history, daemons.witness)
	daemons.grantor = leadership.NewGrantor(now, self.Id, agent, outbox, daemons.witness, clearedTerm)
	daemons.leadership = leadership.New(nonce, agent, history, outbox, addressOf, func() {
		daemons.leases.Reset()
		daemons.quotas.Reset()
	})
	daemons.updater = directory.NewUpdater(history, daemons.leases, members.allStateIncarnations)
	daemons.learner = directory.NewLearner(agent, history, addressOf)
	return daemons
}

// deliveryContext returns the state other than the daemons' leases that decides whether a change is delivered.
func (daemons *daemons) deliveryContext(now time.Time) daemonlease.DeliveryContext {
	return daemonlease.DeliveryContext{
		Now:       now,
		Since:     daemons.leadership.Started(),
		View:      daemons.members.agent.Current(),
		IsGrowing: func() bool { return daemons.members.facts(now).IsGrowing() },
	}
}

// isDelivered reports whether the change with a sequence may be acknowledged.
func (daemons *daemons) isDelivered(now time.Time, sequence uint64) bool {
	return daemons.leases.IsDelivered(daemons.deliveryContext(now), sequence)
}

// tick updates the directory and prompts daemons to request leases, if this machine leads.
func (daemons *daemons) tick(now time.Time) {
	if daemons.leadership.IsLeading(now) && !daemons.members.disk.IsUnhealthy(now) {
		daemons.updater.Tick(daemons.deliveryContext(now))
	}
	if daemons.leases.IsPromptDue(now) && daemons.leadership.IsLeading(now) {
		daemons.leases.Prompt(daemons.deliveryContext(now))
	}
}

// connectionRefused handles a connection attempt, made at the time tried, that was refused at an address. It reports
// whether this shows that a daemon has ended.
func (daemons *daemons) connectionRefused(now time.Time, address string, tried time.Time) bool {
	if !daemons.leadership.IsLeading(now) || !daemons.leases.ConnectionRefused(address, tried) {
		return false
	}
	daemons.quotas.Release(now, address)
	return true
}

// fillGrant fills in the answer to a data daemon's request: the head grants a lease, another acceptor confirms that the
// daemon's document is current.
func (daemons *daemons) fillGrant(now time.Time, address string, request *wire.DaemonLeaseRequest,
	grant *wire.DaemonLeaseGrant) {
	if newest := daemons.members.agent.Newest(); request.View < newest.Epoch {
		grant.View = newest
	}
	if daemons.leadership.IsLeading(now) {
		document := daemons.members.chain.Committed()
		if daemons.leases.HandleRequest(now, address, request) && daemons.directory.Contains(document, address) {
			daemons.leases.Grant(now, address, grant)
		}
		if request.Reservations != nil {
			grant.Challenge = daemons.leases.Challenge(address, request.Incarnation)
		}
		if request.Quota != nil {
			grant.Quota = daemons.quotas.HandleReport(now, document, address, request.Quota, grant.Granted)
		}
	}
	if !grant.Granted {
		isMember := daemons.directory.Contains(daemons.directory.NewestDocument(), address)
		grant.Confirmed = daemons.confirmer.Confirm(now, address, request, isMember)
		grant.Sequence = daemons.witness.Committed()
	}
}

// unleased returns the daemons of the directory that hold no lease granted by this machine; nil if it does not lead.
func (daemons *daemons) unleased(now time.Time) []string {
	if !daemons.leadership.IsLeading(now) {
		return nil
	}
	return daemons.leases.DaemonsWithoutLease(now, daemons.leadership.Started())
}

// unleasedByHead returns the daemons of the directory that hold no lease according to the current head; nil if its
// report is not known.
func (daemons *daemons) unleasedByHead(now time.Time) []string {
	current, detector := daemons.members.agent.Current(), daemons.members.detector
	if len(current.Chain) == 0 {
		return nil
	}
	head := current.Chain[0].Id
	if head == daemons.members.self.Id {
		return daemons.unleased(now)
	}
	peer := detector.Peer(head)
	if peer != nil && detector.IsAlive(now, head) && peer.Heartbeat.View == current.Epoch {
		return peer.Heartbeat.UnleasedDaemons
	}
	return nil
}

// addresses returns the sorted addresses of the daemons that may serve requests.
func (daemons *daemons) addresses(now time.Time) []string {
	return daemons.directory.ServingDaemons(daemons.leases.Active(now), daemons.unleasedByHead(now))
}

// isIsolated reports whether no message has arrived for the detector's isolation time although there are other
// processes.
func (daemons *daemons) isIsolated(now time.Time) bool {
	return daemons.members.detector.IsSilent(now) &&
		(len(daemons.members.addresses()) > 0 || len(daemons.directory.NewestDocument().Directory) > 0)
}
