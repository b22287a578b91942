package election_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/election"
)

// processes are three that hear each other or not, at random; a result reaches each of them or is lost.
type processes struct {
	random    *rand.Rand
	now       time.Time
	order     []string
	elections map[string]*election.Election
	// greatest is the epoch that each process accepted last.
	greatest map[string]uint64
	// last is the process that led last; takeovers counts how often another led than before.
	last      string
	takeovers int
}

func newProcesses(seed int64) *processes {
	processes := &processes{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), order: []string{"a", "b", "c"},
		elections: map[string]*election.Election{}, greatest: map[string]uint64{},
	}
	for _, name := range processes.order {
		processes.elections[name] = election.New(processes.now, name)
		processes.elections[name].SetOrder(processes.order)
	}
	return processes
}

// hear lets a process hear each other one: always in calm, now and then otherwise.
func (processes *processes) hear(name string, calm bool) {
	for _, other := range processes.order {
		if other != name && (calm || processes.random.Intn(20) == 0) {
			processes.elections[name].Observe(processes.now, other)
		}
	}
}

// work lets a process do the task if it leads; its results reach everybody in calm, some otherwise.
func (processes *processes) work(name string, calm bool) error {
	epoch, leads := processes.elections[name].Campaign(processes.now)
	if !leads {
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
		if !processes.elections[other].Accept(epoch, name) {
			continue
		}
		if epoch < processes.greatest[other] {
			return fmt.Errorf("%s accepted epoch %d after %d", other, epoch, processes.greatest[other])
		}
		processes.greatest[other] = epoch
	}
	return nil
}

// run runs a time of lost messages and then a calm.
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

// No process ever accepts a result of a lower epoch than it accepted before, and once all hear each other again exactly
// the first of the order leads.
func TestEpochsOnlyRiseAndOneLeaderRemains(t *testing.T) {
	takeovers := 0
	for seed := int64(1); seed <= 200; seed++ {
		processes := newProcesses(seed)
		if err := processes.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, name := range processes.order {
			if _, leads := processes.elections[name].Campaign(processes.now); leads != (name == "a") {
				t.Fatalf("seed %d: %s leads: %v", seed, name, leads)
			}
		}
		takeovers += processes.takeovers
	}
	if takeovers < 400 {
		t.Fatalf("only %d takeovers", takeovers)
	}
}

func TestLeading(t *testing.T) {
	start, bound := time.Unix(0, 0), election.LeaderTimeout
	for name, test := range map[string]struct {
		order []string
		heard string
		after time.Duration
		want  bool
	}{
		"without an order":                    {want: true},
		"first of the order":                  {order: []string{"self", "a"}, want: true},
		"second, just started":                {order: []string{"a", "self"}, after: bound - 1},
		"second, while the first is silent":   {order: []string{"a", "self"}, after: bound, want: true},
		"second, while the first is alive":    {order: []string{"a", "self"}, heard: "a", after: bound},
		"third, while the second is alive":    {order: []string{"a", "b", "self"}, heard: "b", after: bound},
		"not in the order, nobody else alive": {order: []string{"a", "b"}, after: bound},
		"second, while the third is alive":    {order: []string{"a", "self", "b"}, heard: "b", after: bound, want: true},
	} {
		process := election.New(start, "self")
		process.SetOrder(test.order)
		if test.heard != "" {
			process.Observe(start.Add(test.after), test.heard)
		}
		if epoch, leads := process.Campaign(start.Add(test.after)); leads != test.want || (epoch > 0) != test.want {
			t.Errorf("%s: leads %v under epoch %d", name, leads, epoch)
		}
	}
}
