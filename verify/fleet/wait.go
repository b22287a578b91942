package fleet

import (
	"context"
	"time"
)

// pollInterval is how often waitFor looks at its condition.
const pollInterval = 100 * time.Millisecond

// waitFor waits until a condition holds. It returns ErrTimeout where it does not in time, or the context's error.
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

// sleep waits; it returns the context's error where that ends before.
func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sleepUntil waits for a moment, which may have passed; it returns the context's error where that ends before.
func sleepUntil(ctx context.Context, moment time.Time) error { return sleep(ctx, time.Until(moment)) }
