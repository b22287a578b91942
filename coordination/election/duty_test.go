package election_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/election"
)

func Example() {
	now := time.Unix(0, 0)
	second := election.New(now, "b")
	second.Order([]string{"a", "b", "c"})
	second.Heard(now, "a")
	_, mine := second.Mine(now.Add(time.Second))
	fmt.Println("while a lives:", mine)
	epoch, mine := second.Mine(now.Add(2 * election.Bound))
	fmt.Println("when a is silent:", mine, "under epoch", epoch)
	fmt.Println("a result of a's own, older epoch counts:", second.Take(0, "a"))
	// Output:
	// while a lives: false
	// when a is silent: true under epoch 1
	// a result of a's own, older epoch counts: false
}

// Three processes hear each other or not, as chance has it; every result reaches everybody late or
// never. No process ever takes a result of a lower epoch than it took before, and once all hear each
// other again exactly the first of the order holds the duty.
func TestEpochsOnlyRiseAndOneHolderRemains(t *testing.T) {
	order := []string{"a", "b", "c"}
	takeovers := 0
	for seed := int64(1); seed <= 200; seed++ {
		random, now := rand.New(rand.NewSource(seed)), time.Unix(0, 0)
		duties := map[string]*election.Duty{}
		for _, name := range order {
			duties[name] = election.New(now, name)
			duties[name].Order(order)
		}
		greatest, last := map[string]uint64{}, ""
		for step := range 400 {
			now = now.Add(100 * time.Millisecond)
			calm := step > 300
			for _, name := range order {
				for _, other := range order {
					if other != name && (calm || random.Intn(20) == 0) {
						duties[name].Heard(now, other)
					}
				}
				epoch, mine := duties[name].Mine(now)
				if !mine {
					continue
				}
				if name != last {
					takeovers++
					last = name
				}
				for _, other := range order {
					if other == name || !calm && random.Intn(3) > 0 {
						continue
					}
					if duties[other].Take(epoch, name) {
						if epoch < greatest[other] {
							t.Fatalf("seed %d: %s took epoch %d after %d", seed, other, epoch, greatest[other])
						}
						greatest[other] = epoch
					}
				}
			}
		}
		for _, name := range order {
			if _, mine := duties[name].Mine(now); mine != (name == "a") {
				t.Fatalf("seed %d: %s holds it: %v", seed, name, mine)
			}
		}
	}
	if takeovers < 400 {
		t.Fatalf("only %d takeovers", takeovers)
	}
}
