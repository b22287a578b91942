package peersampling_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/machine"
	"wardtray/coordination/peersampling"
	"wardtray/wire"
)

func Example() {
	now, outbox := time.Unix(0, 0), machine.NewOutbox()
	view := peersampling.New(&wire.CohortLine{Address: "127.0.0.1:1", Zone: "a"}, []string{"127.0.0.9:1"}, outbox, rand.New(rand.NewSource(1)))
	view.Tick(now)
	parcels, _ := outbox.Drain()
	fmt.Println("asks its seed:", parcels[0].To)
	view.Shuffle(now, "127.0.0.9:1", &wire.Shuffle{Answer: true, Lines: []*wire.CohortLine{{Address: "127.0.0.9:1", Zone: "b"}, {Address: "127.0.0.2:1", Zone: "a"}}})
	fmt.Println("knows", len(view.Lines()), "neighbours")
	// Output:
	// asks its seed: 127.0.0.9:1
	// knows 2 neighbours
}

// Two hundred processes that know one seed: after a while the views connect them all, stay within
// their bound, hold nobody twice, and forget who is gone.
func TestViewsConnectAndForget(t *testing.T) {
	random, now := rand.New(rand.NewSource(4)), time.Unix(0, 0)
	views, outboxes := map[string]*peersampling.Cohort{}, map[string]*machine.Outbox{}
	var names []string
	for number := range 200 {
		name := fmt.Sprintf("p%03d", number)
		outboxes[name] = machine.NewOutbox()
		views[name] = peersampling.New(&wire.CohortLine{Address: name, Zone: fmt.Sprint(number % 4)}, []string{"p000"}, outboxes[name], rand.New(rand.NewSource(int64(number))))
		names = append(names, name)
	}
	gone := map[string]bool{}
	run := func(seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			for _, name := range names {
				if !gone[name] {
					views[name].Tick(now)
				}
			}
			for range 2 {
				for _, name := range names {
					parcels, _ := outboxes[name].Drain()
					for _, parcel := range parcels {
						if !gone[parcel.To] && random.Intn(10) > 0 {
							views[parcel.To].Shuffle(now, name, parcel.Envelope.GetShuffle())
						}
					}
				}
			}
		}
	}
	reached := func() int {
		seen, open := map[string]bool{"p000": true}, []string{"p000"}
		for len(open) > 0 {
			next := open[0]
			open = open[1:]
			for _, line := range views[next].Lines() {
				if !seen[line.Address] && !gone[line.Address] {
					seen[line.Address] = true
					open = append(open, line.Address)
				}
			}
		}
		return len(seen)
	}
	run(60)
	if count := reached(); count != 200 {
		t.Fatalf("%d of 200 are connected", count)
	}
	for number := 100; number < 200; number++ {
		gone[names[number]] = true
	}
	run(120)
	if count := reached(); count != 100 {
		t.Fatalf("%d of 100 are connected after the others went", count)
	}
	stale := 0
	for _, name := range names[:100] {
		if lines := views[name].Lines(); len(lines) > peersampling.Size {
			t.Fatalf("%s knows %d", name, len(lines))
		}
		for _, line := range views[name].Lines() {
			if gone[line.Address] {
				stale++
			}
		}
	}
	if stale > 100*peersampling.Size/10 {
		t.Fatalf("%d lines still name who is gone", stale)
	}
}
