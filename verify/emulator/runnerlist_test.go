package emulator

import (
	"testing"
	"time"

	"wardtray/balancer/load"
	"wardtray/verify/histories"
)

// listAt publishes a list at a time and records the drains, as Platform.publish does.
func listAt(t *testing.T, list *runnerList, history *histories.History, now time.Time) {
	t.Helper()
	left, inService, err := list.publish(now)
	if err != nil {
		t.Fatal(err)
	}
	recordDrains(history, now, left, inService)
}

func TestRunnerListIsPublishedInOrder(t *testing.T) {
	list, now := newRunnerList(), time.Now()
	if content := string(list.content()); content != "[]" {
		t.Errorf("before any publication: %s, want []", content)
	}
	list.set(Identity{ID: "b", Address: "127.0.0.2:1", Zone: "z", Service: "s"}, StateReady)
	list.set(Identity{ID: "a", Address: "127.0.0.1:1", Zone: "z", Service: "s"}, StateCold)
	if content := string(list.content()); content != "[]" {
		t.Errorf("before the entries are published: %s, want []", content)
	}
	listAt(t, list, histories.New(), now)
	want := `[{"runner_id":"a","address":"127.0.0.1:1","zone":"z","service":"s","state":"cold"},` +
		`{"runner_id":"b","address":"127.0.0.2:1","zone":"z","service":"s","state":"ready"}]`
	if content := string(list.content()); content != want {
		t.Errorf("published %s, want %s", content, want)
	}
}

func TestRunnerIsPastSlowStart(t *testing.T) {
	list, start := newRunnerList(), time.Now()
	runner := Identity{ID: "a"}
	list.set(runner, StateCold)
	listAt(t, list, histories.New(), start.Add(-time.Hour))
	list.set(runner, StateReady)
	listAt(t, list, histories.New(), start)
	for after, want := range map[time.Duration]bool{
		0:                          false,
		load.SlowStartDuration - 1: false,
		load.SlowStartDuration:     true,
	} {
		if past := list.isPastSlowStart("a", start.Add(after)); past != want {
			t.Errorf("after %v: past the slow start %v", after, past)
		}
	}
	if list.isPastSlowStart("unknown", start.Add(time.Hour)) {
		t.Error("a runner that was never listed counts as past its slow start")
	}
}

func TestDrainsAreRecorded(t *testing.T) {
	runner := Identity{ID: "a"}
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, test := range map[string]struct {
		// changes are applied to the list in turn, one before each publication.
		changes []func(list *runnerList)
		want    []histories.Drain
	}{
		"never in service": {
			[]func(*runnerList){
				func(list *runnerList) { list.set(runner, StateDraining) },
				func(list *runnerList) { list.remove("a") },
			},
			nil,
		},
		"drains and leaves": {
			[]func(*runnerList){
				func(list *runnerList) { list.set(runner, StateReady) },
				func(list *runnerList) { list.set(runner, StateDraining) },
				func(list *runnerList) { list.remove("a") },
			},
			[]histories.Drain{{At: at(1), Runner: "a", Drained: true}},
		},
		"is missing and comes back": {
			[]func(*runnerList){
				func(list *runnerList) { list.set(runner, StateReady) },
				func(list *runnerList) { list.remove("a") },
				func(list *runnerList) { list.set(runner, StateCold) },
			},
			[]histories.Drain{{At: at(1), Back: at(2), Runner: "a"}},
		},
		"drains and is listed again": {
			[]func(*runnerList){
				func(list *runnerList) { list.set(runner, StateReady) },
				func(list *runnerList) { list.set(runner, StateDraining) },
				func(list *runnerList) { list.set(runner, StateReady) },
			},
			[]histories.Drain{{At: at(1), Runner: "a", Drained: true}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			list, history := newRunnerList(), histories.New()
			for second, change := range test.changes {
				change(list)
				listAt(t, list, history, at(second))
			}
			if len(history.Drains) != len(test.want) {
				t.Fatalf("%d drains, want %d", len(history.Drains), len(test.want))
			}
			for number, drain := range history.Drains {
				if *drain != test.want[number] {
					t.Errorf("drain %+v, want %+v", *drain, test.want[number])
				}
			}
		})
	}
}
