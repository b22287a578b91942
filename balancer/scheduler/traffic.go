package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/kvblock"
)

const (
	// fadeEvery and fade let old requests count less and less; about 400 back the picture goes.
	fadeEvery = 40
	fade      = 0.9
	// supposed is how many requests' worth of what is supposed stands beside what was seen.
	supposed = 150
	// supposedLong is the part of all reading time that long prompts are first supposed to take.
	supposedLong = 0.15
	// supposedOpenings is the same for openings, of which a crowd's must be noticed at once.
	supposedOpenings = 20
	// rateSpan is over how long the pace of requests is taken.
	rateSpan = 5 * time.Second
	// mostBusy bounds the part of the time for which runners are taken to be reading.
	mostBusy = 0.9
)

// sizes are sums over prompts: how many, how long they take to read, and the squares of that.
type sizes struct{ count, work, square float64 }

func (sizes *sizes) fade() {
	sizes.count, sizes.work, sizes.square = sizes.count*fade, sizes.work*fade, sizes.square*fade
}

func (sizes *sizes) add(work float64) {
	sizes.count, sizes.work, sizes.square = sizes.count+1, sizes.work+work, sizes.square+work*work
}

// left is how long a prompt that is being read still takes on the average, since long ones are met more often.
func (sizes *sizes) left() float64 {
	if sizes.work <= 0 {
		return 0.03
	}
	return sizes.square / sizes.work / 2
}

// traffic is a daemon's picture of what its backend is asked for. All daemons have clients of the same
// kinds, so that each takes its own part for a sample of the whole.
type traffic struct {
	long, short sizes
	openings    map[kvblock.BlockKey]float64
	requests    float64
	// tokens are those that were new to the runners or written by them.
	tokens float64
	since  int
	// pace is our own requests a second.
	pace float64
	last time.Time
}

func newTraffic() traffic { return traffic{openings: map[kvblock.BlockKey]float64{}} }

// count takes in one request that goes out for the first time.
func (traffic *traffic) count(now time.Time, opening kvblock.BlockKey, work float64, tokens int, long bool) {
	if traffic.since++; traffic.since >= fadeEvery {
		traffic.since = 0
		traffic.long.fade()
		traffic.short.fade()
		traffic.requests *= fade
		traffic.tokens *= fade
		// What is less than a fair part of one request counts for nothing any more.
		least := (traffic.long.work + traffic.short.work) / max(1, traffic.requests) / 4
		for key, seen := range traffic.openings {
			if seen *= fade; seen < least {
				delete(traffic.openings, key)
			} else {
				traffic.openings[key] = seen
			}
		}
	}
	traffic.requests++
	traffic.tokens += float64(tokens)
	// One long prompt makes no crowd.
	mean := (traffic.long.work + traffic.short.work + work) / traffic.requests
	traffic.openings[opening] += min(work, 2*mean)
	if long {
		traffic.long.add(work)
	} else {
		traffic.short.add(work)
	}
	traffic.pace = traffic.paceAt(now) + 1/rateSpan.Seconds()
	traffic.last = now
}

func (traffic *traffic) paceAt(now time.Time) float64 {
	return traffic.pace * math.Exp(-float64(now.Sub(traffic.last))/float64(rateSpan))
}

// longPart is the part of all reading time that long prompts take.
func (traffic *traffic) longPart() float64 {
	all := traffic.long.work + traffic.short.work
	if all <= 0 {
		return supposedLong
	}
	weight := supposed * all / traffic.requests
	return (supposedLong*weight + traffic.long.work) / (weight + all)
}

// openingPart is the part of all reading time that prompts with an opening take, but for one of them.
func (traffic *traffic) openingPart(opening kvblock.BlockKey) float64 {
	all := traffic.long.work + traffic.short.work
	if all <= 0 {
		return 0
	}
	mean := all / traffic.requests
	return max(0, traffic.openings[opening]-mean) / (all + supposedOpenings*mean)
}

// busy is the part of the time for which each of some runners reads, where all daemons together send them
// prompts of such sizes.
func (traffic *traffic) busy(now time.Time, of *sizes, daemons, runners int) float64 {
	if runners == 0 || traffic.requests <= 0 {
		return 0
	}
	return min(mostBusy, traffic.paceAt(now)*float64(daemons)*of.work/traffic.requests/float64(runners))
}
