package fleet

import (
	"context"
	"time"
)

// pollInterval is the interval at which waitFor evaluates its condition.
const pollInterval = 100 * time.Millisecond

// waitFor waits until a condition holds. It returns ErrTimeout if the condition does not hold within the timeout, or
// the context's error.
func waitFor(ctx context.Context, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return ErrTimeout
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a duration. It returns the context's error if the context is cancelled first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sleepUntil waits until a moment, or not at all if it has passed. It returns the context's error if the context is
// cancelled first.
func sleepUntil(ctx context.Context, moment time.Time) error { return sleep(ctx, time.Until(moment)) }
