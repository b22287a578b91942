package fleet

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"wardtray/verify/histories"
)

func newTestRun(duration time.Duration) *ScenarioRun {
	return &ScenarioRun{
		Fleet:        &Fleet{Deployment: testDeployment, History: histories.New()},
		loadDuration: duration,
		started:      time.Now(),
		rate:         newRequestRate(60),
	}
}

// Steps start at their times. A step whose time has passed when the previous one ends starts at once.
func TestStepsAreExecutedInOrder(t *testing.T) {
	var times []time.Duration
	synctest.Test(t, func(t *testing.T) {
		run := newTestRun(10 * time.Second)
		note := func(context.Context, *ScenarioRun) error {
			times = append(times, time.Since(run.started))
			return nil
		}
		long := func(ctx context.Context, _ *ScenarioRun) error { return sleep(ctx, 4*time.Second) }
		steps := []Step{at(0.1, note, note), at(0.5, long), at(0.6, note), at(0.2, note)}
		if err := run.execute(t.Context(), steps); err != nil {
			t.Error(err)
		}
	})
	want := []time.Duration{time.Second, time.Second, 9 * time.Second, 9 * time.Second}
	if !slices.Equal(times, want) {
		t.Errorf("actions at %v instead of %v", times, want)
	}
}

func TestScenarioRunEndsWithAnErrorOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newTestRun(10 * time.Second)
		failure := errors.New("failed")
		fail := func(context.Context, *ScenarioRun) error { return failure }
		never := func(context.Context, *ScenarioRun) error {
			t.Error("an action is executed after the end of the scenario")
			return nil
		}
		if err := run.execute(t.Context(), []Step{at(0, fail, never), at(0.1, never)}); !errors.Is(err, failure) {
			t.Errorf("error %v instead of that of the failed action", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := run.execute(ctx, []Step{at(0.5, never)}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v instead of that of the context", err)
		}
	})
}

func TestDurationsOfFractionsOfTheLoad(t *testing.T) {
	run := newTestRun(15 * time.Second)
	if fraction := run.durationOf(0.15); fraction != 2250*time.Millisecond {
		t.Errorf("duration %v", fraction)
	}
	if fraction := run.wholeSecondsOf(0.15); fraction != 2*time.Second {
		t.Errorf("whole seconds %v", fraction)
	}
	run.rate.scale(5)
	if rate := run.rate.current(); rate != 300 {
		t.Errorf("%v requests a second", rate)
	}
}

// The load lasts at least until histories.RecoveryBound after the last restart of all processes. Without requests, the
// check of the recovery would not notice a service that recovers too late, or not at all.
func TestLoadEndsAfterTheLastReturn(t *testing.T) {
	for name, test := range map[string]struct {
		returns []time.Duration
		want    time.Duration
	}{
		"none":         {nil, 15 * time.Second},
		"an early one": {[]time.Duration{time.Second}, 15 * time.Second},
		"a late one":   {[]time.Duration{10 * time.Second}, 10*time.Second + histories.RecoveryBound},
		"parts of a second": {
			[]time.Duration{time.Second, 10*time.Second + 1},
			11*time.Second + histories.RecoveryBound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			run := newTestRun(15 * time.Second)
			for _, after := range test.returns {
				end := histories.OutageEnd{At: run.started.Add(after)}
				run.History.OutageEnds = append(run.History.OutageEnds, end)
			}
			if duration := run.loadEnd().Sub(run.started); duration != test.want {
				t.Errorf("the load lasts %v instead of %v", duration, test.want)
			}
		})
	}
}
