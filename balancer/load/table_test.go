package load

import (
	"testing"
	"time"

	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

func bookOf(runners ...string) *Table {
	book := NewTable(started, "d1")
	var lines []*wire.Runner
	for _, runner := range runners {
		lines = append(lines, &wire.Runner{RunnerId: runner, Zone: "a", State: "ready"})
	}
	book.List(started, lines)
	return book
}

// Only runners whose newest word is old are asked, whether that was a report or an answer's head.
func TestStaleRunners(t *testing.T) {
	book := bookOf("r1", "r2", "r3")
	book.Reported(started, "r1", Report{Slots: 8})
	book.Reported(started.Add(time.Second), "r2", Report{Slots: 8, Room: 1000})
	stale := book.Stale(started.Add(1500*time.Millisecond), time.Second, true)
	if len(stale) != 2 || stale[0].ID != "r1" || stale[1].ID != "r3" {
		t.Fatalf("stale: %v", stale)
	}
}

// What waits at a runner is others' but for our own; the head of an answer no longer counts the request
// that is being answered, and keeps what a report told of memory.
func TestOthersWaiting(t *testing.T) {
	book := bookOf("r")
	book.Begin("r")
	book.Begin("r")
	look := func() Runner {
		found, _ := book.One(started, "r", nil)
		return found
	}
	book.Reported(started, "r", Report{Running: 1, Waiting: 5, Slots: 8, Tokens: 300, Room: 1000})
	if found := look(); found.OthersWaiting != 3 || found.Room != 1000 {
		t.Fatalf("by a report: %+v", found)
	}
	book.Reported(started, "r", Report{Running: 1, Waiting: 5, Slots: 8})
	if found := look(); found.OthersWaiting != 4 || found.Tokens != 300 || found.Room != 1000 {
		t.Fatalf("by a head: %+v", found)
	}
	book.Answered("r")
	book.Finish("r", true)
	book.Finish("r", false)
	book.Reported(started, "r", Report{Running: 1, Waiting: 5, Slots: 8})
	if found := look(); found.OthersWaiting != 5 || found.InFlight != 0 {
		t.Fatalf("after our own: %+v", found)
	}
}
