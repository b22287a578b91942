package emulator

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"wardtray/balancer/load"
	"wardtray/verify/histories"
)

// State is what the platform says of a runner that it lists.
type State string

// The states of listed runners.
const (
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// listedRunner is one entry of the platform's list, as daemons read it.
type listedRunner struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    State  `json:"state"`
}

// runnerList is the platform's list of runners: how it truly is, and how it was published last. It is safe for
// concurrent use.
type runnerList struct {
	mutex  sync.Mutex
	actual map[string]listedRunner
	// published is the list as daemons read it. inService has the runners on it that were not draining.
	published []byte
	inService map[string]bool
	// readySince is when a runner was first published as ready; runners stay in it after they left.
	readySince map[string]time.Time
}

func newRunnerList() *runnerList {
	return &runnerList{
		actual:     map[string]listedRunner{},
		published:  []byte("[]"),
		inService:  map[string]bool{},
		readySince: map[string]time.Time{},
	}
}

// set adds a runner, or changes the state of one.
func (list *runnerList) set(runner Identity, state State) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.actual[runner.ID] = listedRunner{
		RunnerID: runner.ID,
		Address:  runner.Address,
		Zone:     runner.Zone,
		Service:  runner.Service,
		State:    state,
	}
}

// remove takes a runner off.
func (list *runnerList) remove(id string) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	delete(list.actual, id)
}

// content returns the list as it was published last.
func (list *runnerList) content() []byte {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.published
}

// isSettled reports whether a runner has been published as ready for as long as daemons take to use it in full.
func (list *runnerList) isSettled(id string, now time.Time) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	since, ready := list.readySince[id]
	return ready && now.Sub(since) >= load.SlowStartDuration
}

// publish makes what is published follow the truth. It returns the runners that were in service before and are not
// any more, and those that are in service now.
func (list *runnerList) publish(now time.Time) (left []*histories.Drain, inService map[string]bool, err error) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	entries := make([]listedRunner, 0, len(list.actual))
	inService = map[string]bool{}
	for id, entry := range list.actual {
		entries = append(entries, entry)
		inService[id] = entry.State != StateDraining
		if _, listed := list.readySince[id]; !listed && entry.State == StateReady {
			list.readySince[id] = now
		}
	}
	sort.Slice(entries, func(left, right int) bool { return entries[left].RunnerID < entries[right].RunnerID })
	content, err := json.Marshal(entries)
	if err != nil {
		return nil, nil, err
	}
	for id, was := range list.inService {
		if was && !inService[id] {
			drained := list.actual[id].State == StateDraining
			left = append(left, &histories.Drain{At: now, Runner: id, Drained: drained})
		}
	}
	list.published, list.inService = content, inService
	return left, inService, nil
}

// recordDrains records who left the service, and who is back.
func recordDrains(history *histories.History, now time.Time, left []*histories.Drain, inService map[string]bool) {
	history.Change(func(history *histories.History) {
		for _, drain := range history.Drains {
			// A runner that drains never comes back under its identity; one that was only missing may.
			if inService[drain.Runner] && drain.Back.IsZero() && !drain.Drained {
				drain.Back = now
			}
		}
		history.Drains = append(history.Drains, left...)
	})
}
