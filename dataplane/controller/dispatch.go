package controller

import (
	"reflect"
	"time"

	"wardtray/coordination/gossip"
	"wardtray/wire"
)

func (controller *Controller) table() {
	controller.handlers = map[reflect.Type]func(now time.Time, envelope *wire.Envelope){
		reflect.TypeFor[*wire.Envelope_Shuffle](): func(now time.Time, envelope *wire.Envelope) {
			controller.partialView.Shuffle(now, envelope.From, envelope.GetShuffle())
		},
		reflect.TypeFor[*wire.Envelope_GossipMessage](): func(now time.Time, envelope *wire.Envelope) {
			controller.gossip.Rumor(now, envelope.GetGossipMessage())
		},
		reflect.TypeFor[*wire.Envelope_Digest](): func(now time.Time, envelope *wire.Envelope) {
			controller.gossip.Digest(now, envelope.From, envelope.Zone, envelope.GetDigest())
			// A daemon whose book is empty tells 0, and so does one that keeps none; the former asks for itself.
			if sum := envelope.GetDigest().RunnersChecksum; sum != 0 {
				controller.compareRunners(now, envelope.From, sum)
			}
		},
		reflect.TypeFor[*wire.Envelope_RunnerUpdate](): func(now time.Time, envelope *wire.Envelope) {
			controller.registry.News(now, envelope.From, envelope.GetRunnerUpdate())
			controller.onRunnersLearned(now, envelope.From, envelope.GetRunnerUpdate())
		},
		reflect.TypeFor[*wire.Envelope_RunnerDigest](): func(now time.Time, envelope *wire.Envelope) {
			controller.registry.Digest(now, envelope.From, envelope.GetRunnerDigest())
		},
		reflect.TypeFor[*wire.Envelope_DaemonLeaseGrant](): func(now time.Time, envelope *wire.Envelope) {
			controller.onTickGrant(now, envelope.From, envelope.Sender, envelope.GetDaemonLeaseGrant())
		},
		reflect.TypeFor[*wire.Envelope_DaemonLeasePrompt](): func(now time.Time, envelope *wire.Envelope) {
			controller.onTickCall(now, envelope.From, envelope.GetDaemonLeasePrompt())
		},
		reflect.TypeFor[*wire.Envelope_DocumentRequest](): func(_ time.Time, envelope *wire.Envelope) {
			register := controller.gossip.Get(gossip.DocumentKey)
			if register != nil && register.Epoch > envelope.GetDocumentRequest().Sequence {
				controller.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: &wire.GossipMessage{Entries: []*wire.GossipEntry{register}}}})
			}
		},
		reflect.TypeFor[*wire.Envelope_RequestDispatched](): func(now time.Time, envelope *wire.Envelope) {
			if controller.settings.OnTaken != nil && envelope.Zone == controller.settings.Zone {
				controller.settings.OnTaken(now, envelope.GetRequestDispatched().Key, envelope.GetRequestDispatched().NotExecuted)
			}
		},
		reflect.TypeFor[*wire.Envelope_ViewUpdate](): func(_ time.Time, envelope *wire.Envelope) {
			controller.learnView(envelope.GetViewUpdate().View)
		},
	}
}

// Receive takes one message.
func (controller *Controller) Receive(now time.Time, envelope *wire.Envelope) {
	if handle := controller.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
}
