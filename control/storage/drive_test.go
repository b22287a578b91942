package storage

import (
	"testing"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func record(sequence uint64) statemachine.Write {
	return statemachine.Write{Sequence: sequence, Record: &wire.Record{Body: &wire.Record_View{View: &wire.View{Epoch: sequence}}}}
}

// A write lost to a full waitlist must not be followed by a later one: a completion stands for all before it.
func TestNothingPassesAfterALostWrite(t *testing.T) {
	waitlist := NewWaitlist(2)
	if !waitlist.Offer(record(1)) || !waitlist.Offer(record(2)) || waitlist.Offer(record(3)) {
		t.Fatal("the bound")
	}
	<-waitlist.Writes
	<-waitlist.Writes
	if waitlist.Offer(record(4)) {
		t.Fatal("a write passed after a lost one")
	}
	if !waitlist.Offer(statemachine.Write{Sequence: 5, Memory: &wire.Memory{}}) || !waitlist.Offer(record(6)) {
		t.Fatal("a whole memory did not mend it")
	}
}
