package loadtest

import (
	"math/rand"
	"time"
)

// Kind describes the requests of one route of a mix, and the configuration of that route.
type Kind struct {
	Route string
	// Share is the share (0 to 1) of the mix's requests that are of this kind.
	Share float64
	// AtMostOnce marks at-most-once requests: the route is not idempotent.
	AtMostOnce bool
	// Value, LatencyTarget and ConcurrencyLimit are settings of the route.
	Value            float64
	LatencyTarget    time.Duration
	ConcurrencyLimit float64
	// PrefixParts is the number of parts of a prompt's shared prefix, PrefixPartTokens the number of tokens of each part.
	// UniqueTokens is the number of prompt tokens after the prefix, Answer the number of tokens of the answer.
	PrefixParts, PrefixPartTokens, UniqueTokens, Answer int
	// Prefixes is the number of different prompt prefixes.
	Prefixes int
	// Text is the prompt in the request's body.
	Text string
	// Resumable allows streams of the route to be resumed at another runner, after a pause of at most Pause.
	Resumable bool
	Pause     time.Duration
	// Cancel makes a run of the route end when its client disconnects, even if it is an at-most-once request.
	Cancel bool
	// Wait is about the mean of the time limits that clients declare, Deadline the time limit of the route; 0: none.
	Wait, Deadline time.Duration
}

// Mix is the workload of one deployment, and the backend that serves it: Backend is the name of the backend.
type Mix struct {
	Model, Backend, Weights, Service string
	Kinds                            []Kind
}

// Settings of the variants of a mix.
const (
	// longAnswerTokens is the length of an answer that takes long enough to be interrupted.
	longAnswerTokens = 300
	// resumptionPause is the maximum pause of a stream that is resumed.
	resumptionPause = 500 * time.Millisecond
)

// withKinds returns a copy of the mix with change applied to each kind.
func (mix Mix) withKinds(change func(kind *Kind)) Mix {
	mix.Kinds = append([]Kind{}, mix.Kinds...)
	for index := range mix.Kinds {
		change(&mix.Kinds[index])
	}
	return mix
}

// WithResumption returns the mix with longer, resumable answers for all kinds except at-most-once requests.
func (mix Mix) WithResumption() Mix {
	return mix.withKinds(func(kind *Kind) {
		if !kind.AtMostOnce {
			kind.Resumable, kind.Pause, kind.Answer = true, resumptionPause, longAnswerTokens
		}
	})
}

// WithDeadlines returns the mix with clients that declare time limits and routes that have deadlines.
func (mix Mix) WithDeadlines() Mix {
	return mix.withKinds(func(kind *Kind) { kind.Wait, kind.Deadline = kind.LatencyTarget/2, kind.LatencyTarget })
}

// Cancelling returns the mix with longer answers and with runs that end when their clients disconnect, including those
// of at-most-once requests.
func (mix Mix) Cancelling() Mix {
	return mix.withKinds(func(kind *Kind) { kind.Cancel, kind.Answer = true, longAnswerTokens })
}

// Draw returns a random request of the mix, without an ID; hot is the share (0 to 1) of the requests whose prompts have
// prefix 0 of their kind.
func (mix Mix) Draw(random *rand.Rand, hot float64) Drawn {
	drawn := Drawn{Kind: mix.drawKind(random)}
	// The minimum of two draws makes a few prefixes receive most of the requests, as popular questions do.
	drawn.Prefix = min(random.Intn(drawn.Kind.Prefixes), random.Intn(drawn.Kind.Prefixes))
	if random.Float64() < hot {
		drawn.Prefix = 0
	}
	drawn.Wait = drawn.Kind.drawWait(random)
	return drawn
}

// drawKind returns a random kind, weighted by Share.
func (mix Mix) drawKind(random *rand.Rand) Kind {
	point := random.Float64()
	for _, kind := range mix.Kinds {
		if point -= kind.Share; point < 0 {
			return kind
		}
	}
	return mix.Kinds[len(mix.Kinds)-1]
}

// drawWait draws the time limit that a client declares. A quarter of the clients declare none (0), so that the route's
// deadline applies.
func (kind Kind) drawWait(random *rand.Rand) time.Duration {
	if kind.Wait == 0 || random.Intn(4) == 0 {
		return 0
	}
	return (kind.Wait/8 + time.Duration(random.Int63n(int64(2*kind.Wait)))).Round(time.Millisecond)
}
