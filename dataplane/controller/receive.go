package controller

import (
	"maps"
	"reflect"
	"time"

	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/wire"
)

// Receive handles one message. Messages of types that are not meant for data daemons are ignored.
func (controller *Controller) Receive(now time.Time, envelope *wire.Envelope) {
	if handle := controller.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	if head := controller.leases.head(); head != nil && controller.reservations.takeReportDue() {
		controller.requestLeases(now, []string{head.Address})
	}
}

// registerHandlers fills the table of handlers by message type.
func (controller *Controller) registerHandlers() {
	controller.handlers = map[reflect.Type]func(now time.Time, envelope *wire.Envelope){
		reflect.TypeFor[*wire.Envelope_Shuffle](): func(now time.Time, envelope *wire.Envelope) {
			controller.partialView.HandleShuffle(now, envelope.From, envelope.GetShuffle())
		},
		reflect.TypeFor[*wire.Envelope_GossipMessage](): func(now time.Time, envelope *wire.Envelope) {
			controller.gossip.HandleMessage(now, envelope.GetGossipMessage())
		},
		reflect.TypeFor[*wire.Envelope_RunnerDigest](): func(now time.Time, envelope *wire.Envelope) {
			controller.runnerSync.exchange.HandleDigest(now, envelope.From, envelope.GetRunnerDigest())
		},
		reflect.TypeFor[*wire.Envelope_ViewUpdate](): func(_ time.Time, envelope *wire.Envelope) {
			controller.adoptView(envelope.GetViewUpdate().View)
		},
		reflect.TypeFor[*wire.Envelope_Digest]():            controller.handleDigest,
		reflect.TypeFor[*wire.Envelope_RunnerUpdate]():      controller.handleRunnerUpdate,
		reflect.TypeFor[*wire.Envelope_DaemonLeaseGrant]():  controller.handleLeaseGrant,
		reflect.TypeFor[*wire.Envelope_DaemonLeasePrompt](): controller.handleLeasePrompt,
		reflect.TypeFor[*wire.Envelope_DocumentRequest]():   controller.handleDocumentRequest,
		reflect.TypeFor[*wire.Envelope_RequestDispatched](): controller.handleRequestDispatched,
	}
	maps.Copy(controller.handlers, controller.reservations.handlers())
}

// handleDigest compares gossip entries, and the runners if the sender has a registry.
func (controller *Controller) handleDigest(now time.Time, envelope *wire.Envelope) {
	digest := envelope.GetDigest()
	controller.gossip.HandleDigest(now, envelope.From, envelope.Zone, digest)
	// A checksum of 0 means an empty registry or no registry; a process with an empty registry requests the runners
	// itself.
	if digest.RunnersChecksum != 0 {
		controller.runnerSync.handleChecksum(now, envelope.From, digest.RunnersChecksum)
	}
}

// handleRunnerUpdate adopts the runners of a peer. If the update holds all runners of the head and this daemon may not
// dispatch, it requests a lease again: the last one may not have counted because the runners differed.
func (controller *Controller) handleRunnerUpdate(now time.Time, envelope *wire.Envelope) {
	complete := controller.runnerSync.handleUpdate(now, envelope.From, envelope.GetRunnerUpdate())
	if complete && !now.Before(controller.Until(now)) && controller.leases.isHead(envelope.From) {
		controller.requestLeases(now, []string{envelope.From})
	}
}

// handleDocumentRequest sends the configuration document to a process that has an older one.
func (controller *Controller) handleDocumentRequest(_ time.Time, envelope *wire.Envelope) {
	entry := controller.gossip.Get(gossip.DocumentKey)
	if entry == nil || entry.Epoch <= envelope.GetDocumentRequest().Sequence {
		return
	}
	message := &wire.GossipMessage{Entries: []*wire.GossipEntry{entry}}
	body := &wire.Envelope_GossipMessage{GossipMessage: message}
	controller.outbox.Send(envelope.From, &wire.Envelope{Body: body})
}

// handleRequestDispatched passes the report of an at-most-once request to Settings.OnDispatched, if a daemon of this
// zone sent it.
func (controller *Controller) handleRequestDispatched(now time.Time, envelope *wire.Envelope) {
	if controller.settings.OnDispatched != nil && envelope.Zone == controller.settings.Zone {
		dispatched := envelope.GetRequestDispatched()
		controller.settings.OnDispatched(now, dispatched.Key, dispatched.NotExecuted)
	}
}

// onGossipEntry handles a gossip entry that is newer than the stored one.
func (controller *Controller) onGossipEntry(now time.Time, entry *wire.GossipEntry) {
	if entry.Key == gossip.DocumentKey {
		controller.onDocument(now, entry)
		return
	}
	if outdated := controller.runnerList.onGossipEntry(now, entry); outdated {
		controller.counters.OutdatedLists++
	}
}

// onDocument adopts a configuration document and acknowledges it.
func (controller *Controller) onDocument(now time.Time, entry *wire.GossipEntry) {
	if err := controller.configuration.adopt(entry); err != nil {
		controller.counters.InvalidDocuments++
		return
	}
	controller.counters.Documents++
	controller.reservations.adopt(now, controller.configuration.reservations)
	controller.runnerList.setOrder(controller.configuration.addressesOf(controller.settings.Zone))
	// The head waits for this request before it acknowledges the change, so the request does not wait for the next round.
	if head := controller.leases.head(); head != nil {
		controller.requestLeases(now, []string{head.Address})
	}
}

// gossipPeers returns the peers to which gossip is sent, in the order of their addresses: the partial view, and the
// complete directory if that is small.
func (controller *Controller) gossipPeers() []gossip.Peer {
	zones := map[string]string{}
	for _, peer := range controller.partialView.Peers() {
		zones[peer.Address] = peer.Zone
	}
	if directory := controller.configuration.directory; len(directory) <= 2*peersampling.Size {
		for _, member := range directory {
			zones[member.Address] = member.Zone
		}
	}
	delete(zones, controller.settings.Address)
	return gossip.SortedPeers(zones)
}
