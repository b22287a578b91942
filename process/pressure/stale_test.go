package pressure

import (
	"testing"
	"time"

	"wardtray/process/fault"
	"wardtray/wire"
)

// A runner that is no longer listed is asked on while it has work of ours; else its loss would never be learned of.
func TestUnlistedRunnerWithWorkIsAskedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	book := NewBook(now, "d")
	book.List(now, []*wire.Runner{{RunnerId: "busy", State: "ready"}, {RunnerId: "idle", State: "ready"}})
	book.Begin("busy")
	if gone := book.List(now, nil); len(gone) != 1 || gone[0] != "idle" {
		t.Fatal(gone)
	}
	later := now.Add(time.Minute)
	if stale := book.Stale(later, time.Second); len(stale) != 1 || stale[0].ID != "busy" {
		t.Fatal(stale)
	}
	if !book.Missed(later, "busy", fault.Unreachable) {
		t.Fatal("it is not taken for lost")
	}
	book.Finish("busy", true)
	if stale := book.Stale(later, time.Second); len(stale) != 0 {
		t.Fatal(stale)
	}
}
