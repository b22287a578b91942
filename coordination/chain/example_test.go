package chain_test

import (
	"fmt"
	"time"

	"wardtray/coordination/chain"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// A chain of one member: the driver passes in the time and the completed writes, and drains the outbox.
func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	single := chain.New("a", nil, nil, outbox, func(member *wire.Member) string { return member.Address },
		func(_ time.Time, sequence uint64) { fmt.Println("committed", sequence) })
	single.Adopt(now, &wire.View{Epoch: 1, MinReplicas: 1, Chain: []*wire.Member{{Id: "a", Address: "127.0.0.1:1"}}})
	change := &wire.Entry{ChangesSpec: true, SpecEpoch: 1, Operation: "first", Spec: []byte("{}")}
	if err := single.Submit(now, change); err != nil {
		panic(err)
	}
	_, writes := outbox.Drain()
	fmt.Println("writes requested:", len(writes))
	outbox.Done(now, writes[0].Sequence)
	// Output:
	// writes requested: 1
	// committed 1
}
