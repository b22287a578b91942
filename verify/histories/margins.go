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
	// Retried and Requests are of the ten seconds that were worst for the rule of repeats.
	Retried, Requests int
}

// Worst gives the margins of a history.
func Worst(history *History) Margins {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	margins := Margins{}
	judge := NewJudge(history, history.Final.Known)
	judge.learn()
	backends := map[string]bool{}
	for _, run := range history.Runs {
		backends[run.Pool] = true
		margins.Leaving = max(margins.Leaving, judge.late(run))
		margins.Ignored = max(margins.Ignored, judge.outdated(run.At, func(catalog *config.Catalog) bool { return serves(catalog, run) && allows(catalog, run) }))
		margins.Closed = max(margins.Closed, judge.outdated(run.At, func(catalog *config.Catalog) bool { return catalog.Open(run.Zone) }))
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
	for backend := range backends {
		_, retried, requests := RetryPeak(history, backend)
		margins.retries(retried, requests)
	}
	return margins
}

// retries keeps the worse of two windows.
func (margins *Margins) retries(retried, requests int) {
	used := func(retried, requests int) float64 {
		return float64(retried) / (RetryShare*float64(requests) + RetryLittle)
	}
	if used(retried, requests) > used(margins.Retried, margins.Requests) {
		margins.Retried, margins.Requests = retried, requests
	}
}

// Add keeps the worse of each case.
func (margins *Margins) Add(other Margins) {
	for mine, others := range map[*time.Duration]time.Duration{&margins.Ignored: other.Ignored, &margins.Leaving: other.Leaving,
		&margins.Closed: other.Closed, &margins.Return: other.Return, &margins.Held: other.Held} {
		*mine = max(*mine, others)
	}
	margins.Beside = max(margins.Beside, other.Beside)
	margins.retries(other.Retried, other.Requests)
}
