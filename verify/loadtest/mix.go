package loadtest

import (
	"math/rand"
	"time"
)

// Kind is one kind of requests of a mix, with the terms of its route.
type Kind struct {
	Route string
	// Share is its part (0 to 1) of the requests.
	Share float64
	// Once means that its requests run at most once: its route is not idempotent.
	Once bool
	// Value, LatencyTarget and ConcurrencyLimit are its route's.
	Value            float64
	LatencyTarget    time.Duration
	ConcurrencyLimit float64
	// Opening is the number of parts of a prompt that others share, OpeningTokens the tokens of each; Own are the tokens
	// of the rest, Answer those of the answer.
	Opening, OpeningTokens, Own, Answer int
	// Families is how many different openings there are.
	Families int
	// Text is the prompt that is sent.
	Text string
	// Resumable means that its route's streams may go on at another runner, after pauses of at most Pause.
	Resumable bool
	Pause     time.Duration
	// Cancel means that its route's runs end when their clients leave, also where they run at most once.
	Cancel bool
	// Wait is about how long its clients wait, where they tell it; Deadline is the longest that its route holds a
	// request. 0: neither is told.
	Wait, Deadline time.Duration
}

// Mix is the work of one deployment, and the backend that does it.
type Mix struct {
	Model, Pool, Weights, Service string
	Kinds                         []Kind
}

// Lengths of the variants of a mix.
const (
	// longAnswerTokens are the tokens of answers that last long enough to be interrupted.
	longAnswerTokens = 300
	resumptionPause  = 500 * time.Millisecond
)

// withKinds returns the mix with every kind changed.
func (mix Mix) withKinds(change func(kind *Kind)) Mix {
	mix.Kinds = append([]Kind{}, mix.Kinds...)
	for index := range mix.Kinds {
		change(&mix.Kinds[index])
	}
	return mix
}

// WithResumption is the mix with longer answers, which may be resumed wherever they may be repeated.
func (mix Mix) WithResumption() Mix {
	return mix.withKinds(func(kind *Kind) {
		if !kind.Once {
			kind.Resumable, kind.Pause, kind.Answer = true, resumptionPause, longAnswerTokens
		}
	})
}

// WithDeadlines is the mix whose clients tell how long they wait, and whose routes have a deadline of their own.
func (mix Mix) WithDeadlines() Mix {
	return mix.withKinds(func(kind *Kind) { kind.Wait, kind.Deadline = kind.LatencyTarget/2, kind.LatencyTarget })
}

// Cancelling is the mix with longer answers, whose runs all end when their clients leave, also those that run at most
// once.
func (mix Mix) Cancelling() Mix {
	return mix.withKinds(func(kind *Kind) { kind.Cancel, kind.Answer = true, longAnswerTokens })
}

// Draw draws a request from the mix, without an ID; hot is the part (0 to 1) of the requests that carry one opening.
func (mix Mix) Draw(random *rand.Rand, hot float64) Drawn {
	drawn := Drawn{Kind: mix.drawKind(random)}
	// Few openings draw most of the work, as popular questions do.
	drawn.Family = min(random.Intn(drawn.Kind.Families), random.Intn(drawn.Kind.Families))
	if random.Float64() < hot {
		drawn.Family = 0
	}
	drawn.Wait = drawn.Kind.drawWait(random)
	return drawn
}

// drawKind takes a kind by the kinds' shares.
func (mix Mix) drawKind(random *rand.Rand) Kind {
	point := random.Float64()
	for _, kind := range mix.Kinds {
		if point -= kind.Share; point < 0 {
			return kind
		}
	}
	return mix.Kinds[len(mix.Kinds)-1]
}

// drawWait draws how long a client waits. Some clients tell nothing (0), and then the route's own deadline holds.
func (kind Kind) drawWait(random *rand.Rand) time.Duration {
	if kind.Wait == 0 || random.Intn(4) == 0 {
		return 0
	}
	return (kind.Wait/8 + time.Duration(random.Int63n(int64(2*kind.Wait)))).Round(time.Millisecond)
}
