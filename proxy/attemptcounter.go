package proxy

import (
	"sync"
	"time"

	"wardtray/balancer/retrybudget"
	"wardtray/config"
)

// maximumAttempts bounds the number of attempts of one request, whether they were sent or not.
const maximumAttempts = 8

// lockedBudget is the retry budget of one backend, shared by all its requests.
type lockedBudget struct {
	mutex  sync.Mutex
	budget *retrybudget.Budget
}

// attemptCounter counts the attempts of one request.
type attemptCounter struct {
	// attempts counts the chosen runners; it is maximumAttempts once the budget has denied a send. sends counts the
	// attempts that went out.
	attempts, sends int
	// counted reports whether the request was added to the request count of the retry budget, which counts each request
	// once.
	counted bool
}

// remain reports whether a request of a route may be sent to one more runner.
func (counter *attemptCounter) remain(route *config.Route) bool {
	return counter.attempts < maximumAttempts && (route.Attempts == 0 || counter.sends < route.Attempts)
}

// add counts the attempts of a second attempt that started with a copy of this counter. That the retry budget denied it
// a send does not count: the budget may allow one later.
func (counter *attemptCounter) add(hedged *attemptCounter) {
	counter.attempts++
	counter.sends = hedged.sends
}

// permission is the answer of the retry budget to a send.
type permission int

const (
	// sendDenied: the budget is used up.
	sendDenied permission = iota
	// sendFirst: the request was not sent before, so the budget does not apply.
	sendFirst
	// sendRetry: the send was taken out of the budget.
	sendRetry
)

// spend takes any send after the first out of a budget. If the budget is used up, no later attempt can go out either,
// so none remains.
func (counter *attemptCounter) spend(now time.Time, locked *lockedBudget) permission {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	if counter.sends == 0 {
		// An attempt that ends before its last byte is written is not a send. The next attempt then gets here too and must
		// not count the request again.
		if !counter.counted {
			counter.counted = true
			locked.budget.RecordRequest(now)
		}
		return sendFirst
	}
	if !locked.budget.AllowRetry(now) {
		counter.attempts = maximumAttempts
		return sendDenied
	}
	return sendRetry
}
