package scheduler

// engineSpeeds is the learned model of the prefill time of a backend's engines, in seconds.
type engineSpeeds struct {
	// overhead is the constant part of the time to a first event, token the time per prompt token, and pair the
	// additional time per pair of a token and an earlier token that it attends to.
	overhead, token, pair float64
}

// defaultSpeeds applies until it is corrected by first events.
var defaultSpeeds = engineSpeeds{overhead: 0.008, token: 0.000018, pair: 6e-10}

const (
	// earlyQuantile is the quantile of the times to first events that the speeds predict. It is low because queueing,
	// other daemons' prompts and evicted prompt parts only ever delay first events.
	earlyQuantile = 0.3
	// firstStep and minStep are the initial and the minimum relative change of the speeds by one first event; the step
	// has halved after stepHalving events.
	firstStep, minStep = 0.5, 0.03
	stepHalving        = 8
)

// The bounds of learned speeds, in seconds.
const (
	minOverhead, maxOverhead = 0.0005, 1
	minToken, maxToken       = 1e-7, 0.01
	minPair, maxPair         = 1e-12, 1e-6
)

// prefill returns the prefill time, in seconds, of a prompt of which that many tokens are cached.
func (speeds engineSpeeds) prefill(prompt, cached int) float64 {
	tokens, attended := prefillParts(prompt, cached)
	return speeds.token*tokens + speeds.pair*tokens*attended
}

// prefillParts returns the number of uncached tokens of a prompt, and the number of tokens that each of them attends to
// on average.
func prefillParts(prompt, cached int) (tokens, attended float64) {
	tokens = float64(max(0, prompt-cached))
	return tokens, float64(prompt) - tokens/2
}

// learn adjusts the speeds after a first event that took that many seconds; seen is the number of first events before
// it. Only whether the event came earlier or later than predicted counts, not by how much, so that outliers such as one
// long queue have a limited effect.
func (speeds *engineSpeeds) learn(prompt, cached int, took float64, seen int) {
	tokens, attended := prefillParts(prompt, cached)
	overhead, linear, quadratic := speeds.overhead, speeds.token*tokens, speeds.pair*tokens*attended
	predicted := overhead + linear + quadratic
	step := max(minStep, firstStep/(1+float64(seen)/stepHalving))
	if took < predicted {
		step *= earlyQuantile - 1
	} else {
		step *= earlyQuantile
	}
	// Each speed changes in proportion to its share of the prediction.
	speeds.overhead = min(maxOverhead, max(minOverhead, speeds.overhead*(1+step*overhead/predicted)))
	speeds.token = min(maxToken, max(minToken, speeds.token*(1+step*linear/predicted)))
	speeds.pair = min(maxPair, max(minPair, speeds.pair*(1+step*quadratic/predicted)))
}
