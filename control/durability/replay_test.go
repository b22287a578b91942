package durability

import (
	"testing"

	"wardtray/wire"
)

func TestReplay(t *testing.T) {
	t.Parallel()
	state := &wire.DurableState{}
	Replay(state, entryRecord(3))
	Replay(state, &wire.Record{Body: &wire.Record_ClearedTerm{ClearedTerm: 4}})
	if len(state.Pending) != 1 || state.ClearedTerm != 4 {
		t.Errorf("after an entry and a cleared term: %v", state)
	}
	Replay(state, &wire.Record{Incomplete: true, Body: &wire.Record_Document{Document: &wire.Document{Sequence: 9}}})
	if len(state.Pending) != 0 || state.Document.Sequence != 9 || !state.Incomplete {
		t.Errorf("a document does not replace the pending entries: %v", state)
	}
	Replay(state, &wire.Record{Body: &wire.Record_Complete{}})
	if state.Incomplete {
		t.Error("still incomplete after a record of completeness")
	}
}
