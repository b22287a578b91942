package node

import (
	"reflect"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// Replay folds one record of the log into a memory.
func Replay(memory *wire.DurableState, record *wire.Record) {
	replays := map[reflect.Type]func(){
		reflect.TypeFor[*wire.Record_Entry](): func() { memory.Pending = append(memory.Pending, record.GetEntry()) },
		reflect.TypeFor[*wire.Record_Document](): func() {
			memory.Document, memory.Pending, memory.Incomplete = record.GetDocument(), nil, record.Incomplete
		},
		reflect.TypeFor[*wire.Record_Complete]():      func() { memory.Incomplete = false },
		reflect.TypeFor[*wire.Record_AcceptorState](): func() { memory.AcceptorState = record.GetAcceptorState() },
		reflect.TypeFor[*wire.Record_View]():          func() { memory.View = record.GetView() },
		reflect.TypeFor[*wire.Record_ClearedTerm]():   func() { memory.ClearedTerm = record.GetClearedTerm() },
	}
	if replay := replays[reflect.TypeOf(record.Body)]; replay != nil {
		replay()
	}
}

// recordBytes tells how much of the log records take. A log that is kept over a restart counts from there on:
// otherwise one that is restarted often would grow without a bound.
func recordBytes(records []*wire.Record) (bytes int64) {
	for _, record := range records {
		bytes += int64(proto.Size(record))
	}
	return bytes
}

// Memory gives all that this machine must not forget.
func (node *Node) Memory() *wire.DurableState {
	memory := &wire.DurableState{Id: node.self.Id, View: node.agent.Current(), AcceptorState: node.agent.Vote(), Founding: node.founding, ClearedTerm: node.cleared}
	node.chain.Memory(memory)
	return memory
}

// DiskFailed takes the news that a write could not be carried out. The machine calls itself sick
// until a whole memory has been written anew.
func (node *Node) DiskFailed(now time.Time) {
	node.counters.DiskFailures++
	// Every record asked for meanwhile fails too; if each put the next try off, there would never be one.
	if !node.diskFailed || node.replacing {
		node.retryDisk = now.Add(time.Second)
	}
	node.diskFailed, node.replacing = true, false
}

func (node *Node) unhealthy(now time.Time) bool {
	return node.diskFailed || node.outbox.Oldest(now) > node.bounds.Unhealthy
}

// tendDisk begins a new slot when the log is long, or when the disk must be tried again.
func (node *Node) tendDisk(now time.Time) {
	if node.swept.IsZero() {
		node.swept = now
	}
	// Damage is found while this machine still knows what must be there, and not only when it starts.
	if now.Sub(node.swept) >= sweepEvery && !node.diskFailed && !node.replacing {
		node.swept = now
		node.outbox.Sweep(now)
	}
	if node.replacing || node.diskFailed && now.Before(node.retryDisk) || !node.diskFailed && node.logged < logLimit {
		return
	}
	node.replacing, node.logged, node.swept = true, 0, now
	node.outbox.Replace(now, node.Memory(), func(time.Time) { node.replacing, node.diskFailed = false, false })
}
