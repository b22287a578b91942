package registry

import (
	"testing"
	"time"

	"wardtray/wire"
)

// A process that begins is told of the runners that are gone as well: found by the simulator, a daemon that knew nothing
// of one was told of it as live by a core that had been frozen while it left.
func TestWhoBeginsLearnsWhoIsGone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	teacher, beginner := NewTable(), NewTable()
	teacher.Take(now, []*wire.Runner{{RunnerId: "left", State: "gone", Call: 9, Address: "r1"}, {RunnerId: "there", State: "ready", Call: 3, Address: "r2"}})
	news, _ := teacher.compare(now, beginner.digest(true))
	beginner.Take(now, news)
	beginner.Take(now, []*wire.Runner{{RunnerId: "left", State: "ready", Call: 8, Address: "r1"}})
	for _, runner := range beginner.Runners(now) {
		if runner.RunnerId == "left" {
			t.Fatal("uses a runner that is gone, by the word of one that missed its end")
		}
	}
	if beginner.Checksum() != teacher.Checksum() {
		t.Fatal("the sums of the live lines differ")
	}
	// Whoever knows some lines has been there before and is not taught the gone ones.
	if news, _ := teacher.compare(now, beginner.digest(true)); len(news) != 0 {
		t.Fatalf("taught again: %v", news)
	}
}
