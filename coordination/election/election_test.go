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

// processes are three that hear each other or not, as chance has it; every result reaches everybody late or never.
type processes struct {
	random *rand.Rand
	now    time.Time
	order  []string
	duties map[string]*election.Election
	// greatest is the epoch that each process took last.
	greatest map[string]uint64
	// last held the duty last; takeovers counts how often another held it than before.
	last      string
	takeovers int
}

func newProcesses(seed int64) *processes {
	made := &processes{random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), order: []string{"a", "b", "c"},
		duties: map[string]*election.Election{}, greatest: map[string]uint64{}}
	for _, name := range made.order {
		made.duties[name] = election.New(made.now, name)
		made.duties[name].Order(made.order)
	}
	return made
}

// hear lets a process hear each other one: always in calm, now and then otherwise.
func (processes *processes) hear(name string, calm bool) {
	for _, other := range processes.order {
		if other != name && (calm || processes.random.Intn(20) == 0) {
			processes.duties[name].Heard(processes.now, other)
		}
	}
}

// work lets a process do the duty if it holds it; its results reach everybody in calm, some otherwise.
func (processes *processes) work(name string, calm bool) error {
	epoch, mine := processes.duties[name].Mine(processes.now)
	if !mine {
		return nil
	}
	if name != processes.last {
		processes.takeovers++
		processes.last = name
	}
	for _, other := range processes.order {
		if other == name || !calm && processes.random.Intn(3) > 0 {
			continue
		}
		if !processes.duties[other].Take(epoch, name) {
			continue
		}
		if epoch < processes.greatest[other] {
			return fmt.Errorf("%s took epoch %d after %d", other, epoch, processes.greatest[other])
		}
		processes.greatest[other] = epoch
	}
	return nil
}

// run plays a storm and then a calm.
func (processes *processes) run() error {
	for step := range 400 {
		processes.now = processes.now.Add(100 * time.Millisecond)
		calm := step > 300
		for _, name := range processes.order {
			processes.hear(name, calm)
			if err := processes.work(name, calm); err != nil {
				return err
			}
		}
	}
	return nil
}

// No process ever takes a result of a lower epoch than it took before, and once all hear each
// other again exactly the first of the order holds the duty.
func TestEpochsOnlyRiseAndOneHolderRemains(t *testing.T) {
	takeovers := 0
	for seed := int64(1); seed <= 200; seed++ {
		processes := newProcesses(seed)
		if err := processes.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, name := range processes.order {
			if _, mine := processes.duties[name].Mine(processes.now); mine != (name == "a") {
				t.Fatalf("seed %d: %s holds it: %v", seed, name, mine)
			}
		}
		takeovers += processes.takeovers
	}
	if takeovers < 400 {
		t.Fatalf("only %d takeovers", takeovers)
	}
}
