package proxy

import (
	"sync"
	"time"

	"wardtray/balancer/retrybudget"
	"wardtray/config"
)

// maximumAttempts bounds the runners at which one request is tried, whether it was sent to them or not.
const maximumAttempts = 8

// lockedBudget is the retry budget of one backend, which all its requests share.
type lockedBudget struct {
	mutex  sync.Mutex
	budget *retrybudget.Budget
}

// tries counts what was tried for one request.
type tries struct {
	// attempts counts the chosen runners (maximumAttempts once the budget denies a send), sends those that went out.
	attempts, sends int
	// counted says that the request is in the count of the retry budget, where each counts once.
	counted bool
}

// remain reports whether a request of a route may be sent to one more runner.
func (tries *tries) remain(route *config.Route) bool {
	return tries.attempts < maximumAttempts && (route.Attempts == 0 || tries.sends < route.Attempts)
}

// permission is what the retry budget says of a send.
type permission int

const (
	// sendDenied: the budget is used up.
	sendDenied permission = iota
	// sendFirst: the request was not sent before, so that the budget has no say.
	sendFirst
	// sendRetry: the send was taken out of the budget.
	sendRetry
)

// spend takes a second or later send out of a budget. Where it is used up no later attempt can go out either, so that
// none remains.
func (tries *tries) spend(now time.Time, locked *lockedBudget) permission {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	if tries.sends == 0 {
		// An attempt that ends before its last byte is no send, and its request counts once.
		if !tries.counted {
			tries.counted = true
			locked.budget.RecordRequest(now)
		}
		return sendFirst
	}
	if !locked.budget.AllowRetry(now) {
		tries.attempts = maximumAttempts
		return sendDenied
	}
	return sendRetry
}
