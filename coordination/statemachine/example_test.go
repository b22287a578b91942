package statemachine_test

import (
	"fmt"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// A promise is sent only once it is synced: the state machine sends it from the callback of the write.
func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	record := &wire.Record{Body: &wire.Record_ClearedTerm{ClearedTerm: 1}}
	outbox.Persist(now, record, func(time.Time) { outbox.Send("127.0.0.1:1", &wire.Envelope{}) })

	messages, writes := outbox.Drain()
	fmt.Println(len(messages), "messages and", len(writes), "write")
	outbox.Done(now.Add(time.Millisecond), writes[0].Sequence)
	messages, writes = outbox.Drain()
	fmt.Println(len(messages), "message and", len(writes), "writes")
	// Output:
	// 0 messages and 1 write
	// 1 message and 0 writes
}
