package quota

import (
	"math"
	"time"
)

// average is an exponentially decaying rate per second; span is its time constant.
type average struct {
	value     float64
	updatedAt time.Time
	span      time.Duration
}

func (average *average) decay(now time.Time) {
	if elapsed := now.Sub(average.updatedAt); elapsed > 0 {
		average.value *= math.Exp(-float64(elapsed) / float64(average.span))
		average.updatedAt = now
	}
}

func (average *average) add(now time.Time, amount float64) {
	average.decay(now)
	average.value += amount / average.span.Seconds()
}
