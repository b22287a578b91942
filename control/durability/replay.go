package durability

import (
	"reflect"

	"wardtray/wire"
)

// Replay applies one record of the log to the state.
func Replay(state *wire.DurableState, record *wire.Record) {
	replays := map[reflect.Type]func(){
		reflect.TypeFor[*wire.Record_Entry](): func() { state.Pending = append(state.Pending, record.GetEntry()) },
		reflect.TypeFor[*wire.Record_Document](): func() {
			state.Document, state.Pending, state.Incomplete = record.GetDocument(), nil, record.Incomplete
		},
		reflect.TypeFor[*wire.Record_Complete]():      func() { state.Incomplete = false },
		reflect.TypeFor[*wire.Record_AcceptorState](): func() { state.AcceptorState = record.GetAcceptorState() },
		reflect.TypeFor[*wire.Record_View]():          func() { state.View = record.GetView() },
		reflect.TypeFor[*wire.Record_ClearedTerm]():   func() { state.ClearedTerm = record.GetClearedTerm() },
	}
	if replay := replays[reflect.TypeOf(record.Body)]; replay != nil {
		replay()
	}
}
