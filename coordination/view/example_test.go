package view_test

import (
	"fmt"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// A lone founder agrees with itself; messages to its own address are handed straight back.
func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	self := &wire.Member{Id: "a", Address: "127.0.0.1:1"}
	agent := view.NewAgent(now, "a", nil, nil, outbox, func(string) string { return self.Address },
		func(_ time.Time, learned *wire.View) { fmt.Println("learned view", learned.Epoch) })
	agent.Found(now, &wire.View{Epoch: 1, Fleet: "f", Chain: []*wire.Member{self}, Acceptors: []*wire.Member{self}}, []*wire.Member{self})
	for agent.Current().Epoch == 0 {
		parcels, writes := outbox.Drain()
		for _, write := range writes {
			outbox.Done(now, write.Sequence)
		}
		for _, parcel := range parcels {
			if message := parcel.Envelope.GetViewPrepare(); message != nil {
				agent.Prepare(now, parcel.To, message)
			}
			if message := parcel.Envelope.GetViewPromise(); message != nil {
				agent.Promise(now, "a", message)
			}
			if message := parcel.Envelope.GetViewAccept(); message != nil {
				agent.Accept(now, parcel.To, message)
			}
			if message := parcel.Envelope.GetViewAccepted(); message != nil {
				agent.Accepted(now, "a", message)
			}
		}
	}
	// Output:
	// learned view 1
}
