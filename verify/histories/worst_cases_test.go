package histories

import (
	"testing"
	"time"
)

func TestWorstOfACleanHistory(t *testing.T) {
	worst := Worst(clean())
	// The machines are back at 18 s, and the first request after that is answered 0.6 s after 19 s.
	if want := 1600 * time.Millisecond; worst.Return != want {
		t.Errorf("first answer %v after the return instead of %v", worst.Return, want)
	}
	if worst.Draining != 0 || worst.Closed != 0 || worst.OutdatedSpec != 0 || worst.Concurrent != 0 {
		t.Errorf("%+v", worst)
	}
}

func TestWorstOfABrokenHistory(t *testing.T) {
	history := clean()
	history.Runs[30].Zone = "b"
	history.Runs[3].WarmingUp, history.Runs[3].Concurrent = true, 4
	history.Drains = []*Drain{{At: history.Runs[5].At.Add(-time.Second), Back: history.Runs[5].At.Add(1), Runner: "r1"}}
	worst := Worst(history)
	// The closing of zone b is acknowledged at 20.1 s.
	if worst.Closed != 9900*time.Millisecond || worst.Concurrent != 4 || worst.Draining != time.Second {
		t.Errorf("%+v", worst)
	}
}

func TestAddKeepsTheWorse(t *testing.T) {
	worst := WorstCases{OutdatedSpec: 2, Draining: 3, Retried: 1, Requests: 10}
	worst.Add(WorstCases{OutdatedSpec: 1, Draining: 4, Overdue: 5, Retried: 2, Requests: 10})
	if want := (WorstCases{OutdatedSpec: 2, Draining: 4, Overdue: 5, Retried: 2, Requests: 10}); worst != want {
		t.Errorf("%+v instead of %+v", worst, want)
	}
	// The same number of retries for more requests uses a smaller part of the allowance.
	worst.Add(WorstCases{Retried: 2, Requests: 100})
	if worst.Requests != 10 {
		t.Errorf("%d requests instead of 10", worst.Requests)
	}
}
