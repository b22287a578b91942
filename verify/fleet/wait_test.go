package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestWaitFor(t *testing.T) {
	for name, test := range map[string]struct {
		// holdsAfter is the time until the condition holds, cancelAfter that until the context is cancelled.
		holdsAfter, cancelAfter time.Duration
		want                    error
		took                    time.Duration
	}{
		"holds at once":         {0, time.Hour, nil, 0},
		"holds later":           {250 * time.Millisecond, time.Hour, nil, 300 * time.Millisecond},
		"does not hold in time": {time.Hour, time.Hour, ErrTimeout, time.Second + pollInterval},
		"the context ends":      {time.Hour, 500*time.Millisecond + 1, context.DeadlineExceeded, 500*time.Millisecond + 1},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			var took time.Duration
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.cancelAfter)
				defer cancel()
				begin := time.Now()
				err = waitFor(ctx, time.Second, func() bool { return time.Since(begin) >= test.holdsAfter })
				took = time.Since(begin)
			})
			if !errors.Is(err, test.want) || took != test.took {
				t.Errorf("error %v after %v instead of %v after %v", err, took, test.want, test.took)
			}
		})
	}
}

func TestSleepUntilAMomentThatHasPassed(t *testing.T) {
	if err := sleepUntil(t.Context(), time.Now().Add(-time.Hour)); err != nil {
		t.Error(err)
	}
}
