package emulator

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"wardtray/balancer/load"
	"wardtray/verify/histories"
)

// State is the state of a runner in the platform's list.
type State string

// States of listed runners.
const (
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// listedRunner is an entry of the platform's list, in the form in which daemons receive it.
type listedRunner struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    State  `json:"state"`
}

// runnerList holds the platform's current list of runners and the last published version of it. It is safe for
// concurrent use.
type runnerList struct {
	mutex sync.Mutex
	// actual is the current list by runner ID.
	actual map[string]listedRunner
	// published is the last published list in JSON. inService maps the ID of each runner on it to whether the runner was
	// not draining.
	published []byte
	inService map[string]bool
	// readySince is the time of the first publication of a runner as ready; removed runners keep their entries.
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

// set adds a runner or changes its state.
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

// remove removes a runner.
func (list *runnerList) remove(id string) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	delete(list.actual, id)
}

// content returns the last published list in JSON.
func (list *runnerList) content() []byte {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.published
}

// isPastSlowStart reports whether a runner has been published as ready for at least load.SlowStartDuration, after which
// daemons use its full capacity.
func (list *runnerList) isPastSlowStart(id string, now time.Time) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	since, ready := list.readySince[id]
	return ready && now.Sub(since) >= load.SlowStartDuration
}

// publish publishes the current list. It returns the runners that have left the service since the last publication and
// a map from the IDs of the listed runners to whether they are in service.
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

// recordDrains records the runners that have left the service and those that are in service again.
func recordDrains(history *histories.History, now time.Time, left []*histories.Drain, inService map[string]bool) {
	history.Change(func(history *histories.History) {
		for _, drain := range history.Drains {
			// A runner that drained never returns under its ID; one that was only missing from the list may.
			if inService[drain.Runner] && drain.Back.IsZero() && !drain.Drained {
				drain.Back = now
			}
		}
		history.Drains = append(history.Drains, left...)
	})
}
