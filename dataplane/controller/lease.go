package controller

import (
	"time"

	"wardtray/wire"
)

// requestDueLeases sends lease requests if they are due.
func (controller *Controller) requestDueLeases(now time.Time) {
	controller.leases.recordEnd()
	addresses, due := controller.schedule.takeAddresses(now)
	if !due {
		return
	}
	controller.pending.expire(now, controller.leases.term)
	controller.requestLeases(now, addresses)
}

// requestLeases sends a lease request to each address except this daemon's own.
func (controller *Controller) requestLeases(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address == controller.settings.Address {
			continue
		}
		controller.counters.LeaseRequests++
		nonce := controller.pending.add(now)
		request := &wire.DaemonLeaseRequest{
			Nonce:        nonce,
			Quota:        controller.quota.report(now, address, nonce),
			Sequence:     controller.configuration.sequence,
			Zone:         controller.settings.Zone,
			Draining:     controller.draining,
			Http:         controller.settings.HTTP,
			View:         controller.leases.view.Epoch,
			Incarnation:  controller.incarnation,
			Reservations: controller.reservations.report(),
			Challenge:    controller.reservations.challenge,
		}
		body := &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: request}
		controller.outbox.Send(address, &wire.Envelope{Body: body})
	}
}

// requestDocument requests from a process a configuration document newer than this daemon's.
func (controller *Controller) requestDocument(from string) {
	request := &wire.DocumentRequest{Sequence: controller.configuration.sequence}
	body := &wire.Envelope_DocumentRequest{DocumentRequest: request}
	controller.outbox.Send(from, &wire.Envelope{Body: body})
}

// RequestQuota requests quota shares from the head now, unless the response to an earlier report is pending.
func (controller *Controller) RequestQuota(now time.Time) {
	if head := controller.leases.head(); head != nil && controller.quota.canReport(now) {
		controller.requestLeases(now, []string{head.Address})
	}
}

// OnConnectionRefused handles a refused connection to an address.
func (controller *Controller) OnConnectionRefused(now time.Time, address string, _ time.Time) {
	if controller.schedule.onRefused(address) {
		controller.requestDueLeases(now)
	}
}

// adoptView adopts a view if it is newer.
func (controller *Controller) adoptView(newer *wire.View) {
	if controller.leases.adoptView(newer) {
		controller.schedule.onNewView()
	}
}

// handleLeasePrompt responds to a head that waits until this daemon reports a document: with a lease request, which
// carries the document's sequence, or by requesting the document if this daemon has an older one.
func (controller *Controller) handleLeasePrompt(now time.Time, envelope *wire.Envelope) {
	if envelope.GetDaemonLeasePrompt().Sequence > controller.configuration.sequence {
		controller.requestDocument(envelope.From)
		return
	}
	controller.requestLeases(now, []string{envelope.From})
}

// handleLeaseGrant handles a control machine's response to a lease request: the head's lease, an acceptor's
// confirmation, or neither.
func (controller *Controller) handleLeaseGrant(now time.Time, envelope *wire.Envelope) {
	response := envelope.GetDaemonLeaseGrant()
	controller.adoptView(response.View)
	controller.runnerSync.handleChecksum(now, envelope.From, response.RunnersChecksum)
	requested, found := controller.pending.take(response.Nonce)
	if !found {
		return
	}
	controller.quota.handleGrant(now, response)
	controller.reservations.onChallenge(response.Challenge)
	if response.Granted || !response.Starting {
		controller.permission.unansweredRounds = 0
	}
	// A head of an older view may have missed changes, and a majority of an older view's acceptors need not be a majority
	// of this view's.
	if max(response.ViewEpoch, response.View.GetEpoch()) < controller.leases.view.Epoch {
		return
	}
	if response.Granted {
		controller.schedule.onGrant(now)
	}
	if response.Sequence > controller.configuration.sequence {
		controller.permission.onNewerSequence(response.Sequence)
		controller.requestDocument(envelope.From)
		return
	}
	if response.Granted {
		controller.onGranted(now, envelope.From, requested, response)
	}
	if response.Confirmed {
		controller.onConfirmed(now, envelope, requested)
	}
}

// onGranted handles a lease granted by the head. The lease starts at the time of its request.
func (controller *Controller) onGranted(
	now time.Time, from string, requested time.Time, response *wire.DaemonLeaseGrant,
) {
	controller.counters.LeaseGrants++
	controller.leases.ready = true
	if !controller.runnerSync.compareWithHead(now, from, response.RunnersChecksum) {
		return
	}
	term := controller.leases.term
	if response.Milliseconds > 0 {
		term = min(term, time.Duration(response.Milliseconds)*time.Millisecond)
	}
	controller.leases.grant(requested, term)
}

// onConfirmed handles an acceptor's confirmation that it has nothing newer.
func (controller *Controller) onConfirmed(now time.Time, envelope *wire.Envelope, requested time.Time) {
	response := envelope.GetDaemonLeaseGrant()
	if response.ViewEpoch != controller.leases.view.Epoch || !controller.leases.isAcceptor(envelope.Sender) {
		return
	}
	controller.counters.Confirmations++
	if controller.runnerSync.compareWithAcceptor(now, envelope.From, response.RunnersChecksum) {
		confirmed := confirmation{requested: requested, sequence: response.Sequence}
		controller.leases.confirm(now, envelope.Sender, confirmed)
	}
}
