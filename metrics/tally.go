// Package tally counts what happens to requests, for each lane and each outcome, and how long the
// first event took.
package metrics

import (
	"sync"
	"time"
)

// bounds are the upper ends of the buckets of first-event times.
var bounds = []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second, time.Hour}

// Lane is the count of one lane.
type Lane struct {
	Requests uint64            `json:"requests"`
	Done     uint64            `json:"done"`
	Ends     map[string]uint64 `json:"ends,omitempty"`
	Early    uint64            `json:"refused_early"`
	Late     uint64            `json:"refused_late"`
	// QuotaSpent counts requests refused because their tenant had used up its quota.
	QuotaSpent   uint64            `json:"refused_by_quota"`
	Repeats      uint64            `json:"repeats"`
	FreeAttempts uint64            `json:"attempts_not_sent"`
	HeldTokens   uint64            `json:"held_tokens"`
	PromptTokens uint64            `json:"prompt_tokens"`
	FirstEvents  map[string]uint64 `json:"first_events,omitempty"`
	OtherZone    uint64            `json:"passed_to_other_zone"`
	BytesAcross  uint64            `json:"bytes_other_zone"`
	// Resumed counts streams that went on at another runner.
	Resumed uint64 `json:"resumed"`
}

// Tally holds the counts of a process.
type Tally struct {
	mutex sync.Mutex
	lanes map[string]*Lane
}

// MaximumLanes bounds the lanes counted apart; further ones are counted together as "other".
const MaximumLanes = 4096

// New makes an empty tally.
func New() *Tally { return &Tally{lanes: map[string]*Lane{}} }

// Count changes a lane's counts under the lock.
func (tally *Tally) Count(name string, change func(lane *Lane)) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	lane := tally.lanes[name]
	if lane == nil {
		if len(tally.lanes) >= MaximumLanes {
			name = "other"
		}
		lane = tally.lanes[name]
	}
	if lane == nil {
		lane = &Lane{Ends: map[string]uint64{}, FirstEvents: map[string]uint64{}}
		tally.lanes[name] = lane
	}
	change(lane)
}

// First counts a first event's time.
func (lane *Lane) First(length time.Duration) {
	for _, bound := range bounds {
		if length <= bound {
			lane.FirstEvents["<="+bound.String()]++
			return
		}
	}
}

// Lanes gives a copy of all counts.
func (tally *Tally) Lanes() map[string]Lane {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	lanes := map[string]Lane{}
	for name, lane := range tally.lanes {
		copied := *lane
		copied.Ends, copied.FirstEvents = map[string]uint64{}, map[string]uint64{}
		for end, count := range lane.Ends {
			copied.Ends[end] = count
		}
		for bound, count := range lane.FirstEvents {
			copied.FirstEvents[bound] = count
		}
		lanes[name] = copied
	}
	return lanes
}
