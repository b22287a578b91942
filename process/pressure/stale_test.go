package pressure

import (
	"testing"
	"time"

	"wardtray/connection/wire"
	"wardtray/process/fault"
)

// A runner that is no longer listed is asked on while it has work of ours; else its loss would never be learned of.
func TestUnlistedRunnerWithWorkIsAskedOn(test *testing.T) {
	now := time.Unix(1000, 0)
	book := NewBook(now, "d")
	book.List(now, []*wire.Runner{{RunnerId: "busy", State: "ready"}, {RunnerId: "idle", State: "ready"}})
	book.Begin("busy")
	if gone := book.List(now, nil); len(gone) != 1 || gone[0] != "idle" {
		test.Fatal(gone)
	}
	later := now.Add(time.Minute)
	if stale := book.Stale(later, time.Second); len(stale) != 1 || stale[0].ID != "busy" {
		test.Fatal(stale)
	}
	if !book.Missed(later, "busy", fault.Unreachable) {
		test.Fatal("it is not taken for lost")
	}
	book.Finish("busy", true)
	if stale := book.Stale(later, time.Second); len(stale) != 0 {
		test.Fatal(stale)
	}
}
