package scheduler

import "time"

// paceWeight is how far one stretch of a stream moves what is known of the pace of answers.
const paceWeight = 0.1

// pace is what a scheduler learns of how fast answers come once they have begun.
type pace struct {
	// token is how long one token takes, in seconds; 0: nothing is known.
	token float64
}

// learn takes in how long so many tokens of an answer took.
func (pace *pace) learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	seen := took.Seconds() / float64(tokens)
	if pace.token == 0 {
		pace.token = seen
		return
	}
	pace.token += paceWeight * (seen - pace.token)
}

// Paced takes in how long so many tokens of an answer took to come.
func (scheduler *Scheduler) Paced(tokens int, took time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.pace.learn(tokens, took)
}

// Longest is how long a ticket's answer may take in all, its first event within its latency target and as many tokens as it
// may have; 0: nothing is known of the pace of answers.
func (scheduler *Scheduler) Longest(queuedRequest *QueuedRequest) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.pace.token == 0 {
		return 0
	}
	return queuedRequest.Requirements.LatencyTarget + seconds(scheduler.pace.token*float64(queuedRequest.Requirements.AnswerTokens))
}
