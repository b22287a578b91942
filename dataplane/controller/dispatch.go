package controller

import (
	"reflect"
	"time"

	"wardtray/control/node"
	"wardtray/wire"
)

func (director *Director) table() {
	director.handlers = map[reflect.Type]func(now time.Time, envelope *wire.Envelope){
		reflect.TypeFor[*wire.Envelope_Shuffle](): func(now time.Time, envelope *wire.Envelope) {
			director.cohort.Shuffle(now, envelope.From, envelope.GetShuffle())
		},
		reflect.TypeFor[*wire.Envelope_Rumor](): func(now time.Time, envelope *wire.Envelope) {
			director.rumors.Rumor(now, envelope.GetRumor())
		},
		reflect.TypeFor[*wire.Envelope_Digest](): func(now time.Time, envelope *wire.Envelope) {
			director.rumors.Digest(now, envelope.From, envelope.Zone, envelope.GetDigest())
			// A daemon whose book is empty tells 0, and so does one that keeps none; the former asks for itself.
			if sum := envelope.GetDigest().Runners; sum != 0 {
				director.compareRunners(now, envelope.From, sum)
			}
		},
		reflect.TypeFor[*wire.Envelope_RunnerNews](): func(now time.Time, envelope *wire.Envelope) {
			director.registry.News(now, envelope.From, envelope.GetRunnerNews())
			director.onRunnersLearned(now, envelope.From, envelope.GetRunnerNews())
		},
		reflect.TypeFor[*wire.Envelope_RunnerDigest](): func(now time.Time, envelope *wire.Envelope) {
			director.registry.Digest(now, envelope.From, envelope.GetRunnerDigest())
		},
		reflect.TypeFor[*wire.Envelope_TickGrant](): func(now time.Time, envelope *wire.Envelope) {
			director.onTickGrant(now, envelope.From, envelope.Sender, envelope.GetTickGrant())
		},
		reflect.TypeFor[*wire.Envelope_TickCall](): func(now time.Time, envelope *wire.Envelope) {
			director.onTickCall(now, envelope.From, envelope.GetTickCall())
		},
		reflect.TypeFor[*wire.Envelope_DocumentAsk](): func(_ time.Time, envelope *wire.Envelope) {
			register := director.rumors.Get(node.DocumentKey)
			if register != nil && register.Epoch > envelope.GetDocumentAsk().Sequence {
				director.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_Rumor{Rumor: &wire.Rumor{Registers: []*wire.Register{register}}}})
			}
		},
		reflect.TypeFor[*wire.Envelope_Taken](): func(now time.Time, envelope *wire.Envelope) {
			if director.startup.OnTaken != nil && envelope.Zone == director.startup.Zone {
				director.startup.OnTaken(now, envelope.GetTaken().Key, envelope.GetTaken().Dropped)
			}
		},
		reflect.TypeFor[*wire.Envelope_ViewNews](): func(_ time.Time, envelope *wire.Envelope) {
			director.learnView(envelope.GetViewNews().View)
		},
	}
}

// Receive takes one message.
func (director *Director) Receive(now time.Time, envelope *wire.Envelope) {
	if handle := director.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
}
