package scheduler

// engineSpeeds are what is learned of how fast a backend's engines read prompts, all in seconds.
type engineSpeeds struct {
	// overhead is the part of a first event's time that every request has; a prompt token takes token, and pair for each
	// token before it that it attends to.
	overhead, token, pair float64
}

// defaultSpeeds apply until first events have come in.
var defaultSpeeds = engineSpeeds{overhead: 0.008, token: 0.000018, pair: 6e-10}

const (
	// earlyQuantile is the part of the first events that may come sooner than predicted. Queueing, other daemons' prompts
	// and evicted parts only ever delay, so that it is low.
	earlyQuantile = 0.3
	// firstStep and minStep are how far one first event moves the speeds, in the beginning and later; the step halves
	// after stepHalving events.
	firstStep, minStep = 0.5, 0.03
	stepHalving        = 8
)

// The bounds of learned speeds, in seconds.
const (
	minOverhead, maxOverhead = 0.0005, 1
	minToken, maxToken       = 1e-7, 0.01
	minPair, maxPair         = 1e-12, 1e-6
)

// prefill is how long an engine reads a prompt of which so many tokens are cached.
func (speeds engineSpeeds) prefill(prompt, cached int) float64 {
	tokens, attended := prefillParts(prompt, cached)
	return speeds.token*tokens + speeds.pair*tokens*attended
}

// prefillParts returns how many tokens of a prompt are read, and how many tokens each of them attends to on average.
func prefillParts(prompt, cached int) (tokens, attended float64) {
	tokens = float64(max(0, prompt-cached))
	return tokens, float64(prompt) - tokens/2
}

// learn moves the speeds towards one first event that took so many seconds, after seen earlier ones. Only the side on
// which it fell counts, not how far away, so that one long queue spoils nothing.
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
	// Each speed moves in proportion to its part of the prediction.
	speeds.overhead = min(maxOverhead, max(minOverhead, speeds.overhead*(1+step*overhead/predicted)))
	speeds.token = min(maxToken, max(minToken, speeds.token*(1+step*linear/predicted)))
	speeds.pair = min(maxPair, max(minPair, speeds.pair*(1+step*quadratic/predicted)))
}
