package scheduler

import "time"

// paceSmoothing is the weight of one sample in the moving average of the time per generated token.
const paceSmoothing = 0.1

// generationPace estimates the speed at which engines generate tokens after the first event of a response.
type generationPace struct {
	// tokenSeconds is the average time per token in seconds; 0 if unknown.
	tokenSeconds float64
}

// learn updates the average with the time in which that many tokens of a response arrived.
func (pace *generationPace) learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took.Seconds() / float64(tokens)
	if pace.tokenSeconds == 0 {
		pace.tokenSeconds = sample
		return
	}
	pace.tokenSeconds += paceSmoothing * (sample - pace.tokenSeconds)
}

// duration returns the time to generate that many tokens, and whether it is known.
func (pace *generationPace) duration(tokens int) (duration time.Duration, known bool) {
	return seconds(pace.tokenSeconds * float64(tokens)), pace.tokenSeconds != 0
}
