package histories

import (
	"time"

	"wardtray/config"
)

// Margins are the worst cases seen of the rules with a figure.
type Margins struct {
	// Ignored is the longest time after an acknowledgement at which work went out against the spec.
	Ignored time.Duration
	// Leaving is the longest time after the list said that a runner leaves at which it still got work.
	Leaving time.Duration
	// Closed is the longest time after a closing was acknowledged at which the zone still got work.
	Closed time.Duration
	// Return is the longest time from the machines' return to the first whole answer.
	Return time.Duration
	// Held is the longest time from when a loss could be known to the final answer.
	Held time.Duration
	// Beside is the most work beside which a cold runner got more.
	Beside int
	// Repeated and Requests are of the ten seconds that were worst for the rule of repeats.
	Repeated, Requests int
}

// Worst gives the margins of a history.
func Worst(history *History) Margins {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	margins := Margins{}
	judge := NewJudge(history, history.Final.Known)
	judge.learn()
	pools := map[string]bool{}
	for _, run := range history.Runs {
		pools[run.Pool] = true
		margins.Leaving = max(margins.Leaving, judge.late(run))
		margins.Ignored = max(margins.Ignored, judge.outdated(run.At, func(book *config.Book) bool { return serves(book, run) && allows(book, run) }))
		margins.Closed = max(margins.Closed, judge.outdated(run.At, func(book *config.Book) bool { return book.Open(run.Zone) }))
		if run.Cold {
			margins.Beside = max(margins.Beside, run.Beside)
		}
		if run.Started {
			judge.runs[run.Request] = append(judge.runs[run.Request], run)
		}
	}
	for _, answer := range history.Answers {
		if !answer.Lost && !answer.Done && !answer.Gone && !answer.Again && !judge.touched(answer.Daemon, answer.Sent, answer.Got) {
			margins.Held = max(margins.Held, judge.held(answer))
		}
	}
	for _, back := range history.Returns {
		first := time.Duration(1<<63 - 1)
		for _, answer := range history.Answers {
			if answer.Done && answer.Sent.After(back.At) {
				first = min(first, answer.Got.Sub(back.At))
			}
		}
		margins.Return = max(margins.Return, first)
	}
	for pool := range pools {
		_, repeated, requests := RepeatPeak(history, pool)
		margins.repeats(repeated, requests)
	}
	return margins
}

// repeats keeps the worse of two windows.
func (margins *Margins) repeats(repeated, requests int) {
	used := func(repeated, requests int) float64 {
		return float64(repeated) / (RepeatShare*float64(requests) + RepeatLittle)
	}
	if used(repeated, requests) > used(margins.Repeated, margins.Requests) {
		margins.Repeated, margins.Requests = repeated, requests
	}
}

// Add keeps the worse of each case.
func (margins *Margins) Add(other Margins) {
	for mine, others := range map[*time.Duration]time.Duration{&margins.Ignored: other.Ignored, &margins.Leaving: other.Leaving,
		&margins.Closed: other.Closed, &margins.Return: other.Return, &margins.Held: other.Held} {
		*mine = max(*mine, others)
	}
	margins.Beside = max(margins.Beside, other.Beside)
	margins.repeats(other.Repeated, other.Requests)
}
