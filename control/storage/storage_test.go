package storage

import (
	"testing"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func record(sequence uint64) statemachine.Write {
	return statemachine.Write{Sequence: sequence, Record: &wire.Record{Body: &wire.Record_View{View: &wire.View{Epoch: sequence}}}}
}

// A write lost to a full queue must not be followed by a later one: a completion stands for all before it.
func TestNothingPassesAfterALostWrite(t *testing.T) {
	queue := NewWriteQueue(2)
	if !queue.Offer(record(1)) || !queue.Offer(record(2)) || queue.Offer(record(3)) {
		t.Fatal("the bound")
	}
	<-queue.Writes
	<-queue.Writes
	if queue.Offer(record(4)) {
		t.Fatal("a write passed after a lost one")
	}
	if !queue.Offer(statemachine.Write{Sequence: 5, Memory: &wire.DurableState{}}) || !queue.Offer(record(6)) {
		t.Fatal("a whole memory did not mend it")
	}
}
