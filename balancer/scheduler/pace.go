package scheduler

import "time"

// paceWeight is how far one stretch of a stream moves what is known of the pace of answers.
const paceWeight = 0.1

// pace is what a desk learns of how fast answers come once they have begun.
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
func (desk *Desk) Paced(tokens int, took time.Duration) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.pace.learn(tokens, took)
}

// Longest is how long a ticket's answer may take in all, its first event within its patience and as many tokens as it
// may have; 0: nothing is known of the pace of answers.
func (desk *Desk) Longest(ticket *Ticket) time.Duration {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if desk.pace.token == 0 {
		return 0
	}
	return ticket.Bid.Patience + seconds(desk.pace.token*float64(ticket.Bid.AnswerTokens))
}
