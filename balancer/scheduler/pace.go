package scheduler

import "time"

// paceSmoothing is how far one stretch of a stream moves what is known of the pace of responses.
const paceSmoothing = 0.1

// generationPace is what is learned of how fast engines generate tokens once a response has begun.
type generationPace struct {
	// tokenSeconds is how long one token takes, in seconds; 0: not known.
	tokenSeconds float64
}

// learn takes in how long so many tokens of a response took.
func (pace *generationPace) learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	seen := took.Seconds() / float64(tokens)
	if pace.tokenSeconds == 0 {
		pace.tokenSeconds = seen
		return
	}
	pace.tokenSeconds += paceSmoothing * (seen - pace.tokenSeconds)
}

// duration returns how long so many tokens take, and whether that is known.
func (pace *generationPace) duration(tokens int) (duration time.Duration, known bool) {
	return seconds(pace.tokenSeconds * float64(tokens)), pace.tokenSeconds != 0
}
