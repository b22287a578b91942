package view_test

import (
	"fmt"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// A single founder chooses the first view; its messages to its own address are delivered to it.
func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	self := &wire.Member{Id: "a", Address: "127.0.0.1:1"}
	agent := view.NewAgent(now, "a", nil, nil, outbox, func(string) string { return self.Address },
		func(_ time.Time, learned *wire.View) { fmt.Println("learned view", learned.Epoch) })
	founders := []*wire.Member{self}
	agent.Bootstrap(now, &wire.View{Epoch: 1, Fleet: "f", Chain: founders, Acceptors: founders}, founders)
	for agent.Current().Epoch == 0 {
		messages, writes := outbox.Drain()
		for _, write := range writes {
			outbox.Done(now, write.Sequence)
		}
		for _, sent := range messages {
			if message := sent.Envelope.GetViewPrepare(); message != nil {
				agent.HandlePrepare(now, sent.To, message)
			}
			if message := sent.Envelope.GetViewPromise(); message != nil {
				agent.HandlePromise(now, "a", message)
			}
			if message := sent.Envelope.GetViewAccept(); message != nil {
				agent.HandleAccept(now, sent.To, message)
			}
			if message := sent.Envelope.GetViewAccepted(); message != nil {
				agent.HandleAccepted(now, "a", message)
			}
		}
	}
	// Output:
	// learned view 1
}
