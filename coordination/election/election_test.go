package election_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/election"
)

// processes simulates three processes whose heartbeats and results are lost at random.
type processes struct {
	random    *rand.Rand
	now       time.Time
	order     []string
	elections map[string]*election.Election
	// accepted is the epoch that each process accepted last.
	accepted map[string]uint64
	// lastLeader is the process that led last; takeovers counts the changes of the leader.
	lastLeader string
	takeovers  int
}

func newProcesses(seed int64) *processes {
	processes := &processes{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), order: []string{"a", "b", "c"},
		elections: map[string]*election.Election{}, accepted: map[string]uint64{},
	}
	for _, name := range processes.order {
		processes.elections[name] = election.New(processes.now, name)
		processes.elections[name].SetOrder(processes.order)
	}
	return processes
}

// observe makes a process observe a heartbeat of each other one, 19 of 20 of which are lost unless lossless.
func (processes *processes) observe(name string, lossless bool) {
	for _, other := range processes.order {
		if other != name && (lossless || processes.random.Intn(20) == 0) {
			processes.elections[name].Observe(processes.now, other)
		}
	}
}

// execute makes a process execute the task if it leads; 2 of 3 results are lost unless lossless.
func (processes *processes) execute(name string, lossless bool) error {
	epoch, leads := processes.elections[name].Campaign(processes.now)
	if !leads {
		return nil
	}
	if name != processes.lastLeader {
		processes.takeovers++
		processes.lastLeader = name
	}
	for _, other := range processes.order {
		if other == name || !lossless && processes.random.Intn(3) > 0 {
			continue
		}
		if !processes.elections[other].Accept(epoch, name) {
			continue
		}
		if epoch < processes.accepted[other] {
			return fmt.Errorf("%s accepted epoch %d after %d", other, epoch, processes.accepted[other])
		}
		processes.accepted[other] = epoch
	}
	return nil
}

// run simulates a period in which messages are lost, and then one in which none is.
func (processes *processes) run() error {
	for step := range 400 {
		processes.now = processes.now.Add(100 * time.Millisecond)
		lossless := step > 300
		for _, name := range processes.order {
			processes.observe(name, lossless)
			if err := processes.execute(name, lossless); err != nil {
				return err
			}
		}
	}
	return nil
}

// No process ever accepts a result of a lower epoch than it accepted before, also while several lead. Once no heartbeat
// is lost any more, exactly the first process of the order leads.
func TestEpochsOnlyRiseAndOneLeaderRemains(t *testing.T) {
	takeovers := 0
	for seed := int64(1); seed <= 200; seed++ {
		processes := newProcesses(seed)
		if err := processes.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, name := range processes.order {
			if _, leads := processes.elections[name].Campaign(processes.now); leads != (name == "a") {
				t.Fatalf("seed %d: with all heartbeats received, %s leads: %v", seed, name, leads)
			}
		}
		takeovers += processes.takeovers
	}
	if takeovers < 400 {
		t.Fatalf("%d takeovers, want at least 400", takeovers)
	}
}

// The first live process of the order leads, and a process that has just started waits for LeaderTimeout.
func TestLeading(t *testing.T) {
	start, timeout := time.Unix(0, 0), election.LeaderTimeout
	for name, test := range map[string]struct {
		order    []string
		observed string
		after    time.Duration
		want     bool
	}{
		"without an order":                    {want: true},
		"first of the order":                  {order: []string{"self", "a"}, want: true},
		"second, just started":                {order: []string{"a", "self"}, after: timeout - 1},
		"second, the first is not alive":      {order: []string{"a", "self"}, after: timeout, want: true},
		"second, while the first is alive":    {order: []string{"a", "self"}, observed: "a", after: timeout},
		"third, while the second is alive":    {order: []string{"a", "b", "self"}, observed: "b", after: timeout},
		"not in the order, nobody else alive": {order: []string{"a", "b"}, after: timeout},
		"second, while the third is alive":    {order: []string{"a", "self", "b"}, observed: "b", after: timeout, want: true},
	} {
		process := election.New(start, "self")
		process.SetOrder(test.order)
		if test.observed != "" {
			process.Observe(start.Add(test.after), test.observed)
		}
		if epoch, leads := process.Campaign(start.Add(test.after)); leads != test.want || (epoch > 0) != test.want {
			t.Errorf("%s: leads %v under epoch %d, want %v", name, leads, epoch, test.want)
		}
	}
}
