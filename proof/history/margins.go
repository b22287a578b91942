package history

import (
	"time"

	"wardtray/epoch/spec"
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
	// Repeated and Requests are of the ten seconds that were worst for the rule of repeats, Over is by
	// how much the bound was passed there (below zero: kept).
	Repeated, Requests int
	Over               float64
}

// Worst gives the margins of a history.
func Worst(history *History) Margins {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	margins := Margins{Over: -1e9}
	judge := NewJudge(history, history.Final.Known)
	judge.learn()
	pools := map[string]bool{}
	for _, run := range history.Runs {
		pools[run.Pool] = true
		margins.Leaving = max(margins.Leaving, judge.late(run))
		margins.Ignored = max(margins.Ignored, judge.outdated(run.At, func(book *spec.Book) bool { return serves(book, run) && allows(book, run) }))
		margins.Closed = max(margins.Closed, judge.outdated(run.At, func(book *spec.Book) bool { return book.Open(run.Zone) }))
		if run.Cold {
			margins.Beside = max(margins.Beside, run.Beside)
		}
		if run.Started {
			judge.runs[run.Request] = append(judge.runs[run.Request], run)
		}
	}
	for _, answer := range history.Answers {
		if !answer.Lost && !answer.Done && !answer.Gone && !judge.touched(answer.Daemon, answer.Sent, answer.Got) {
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
		if over, repeated, requests := RepeatPeak(history, pool); over > margins.Over {
			margins.Over, margins.Repeated, margins.Requests = over, repeated, requests
		}
	}
	return margins
}
