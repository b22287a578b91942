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

func newTestStage(length time.Duration) *Stage {
	return &Stage{
		Fleet:   &Fleet{Deployment: testDeployment, History: histories.New()},
		length:  length,
		started: time.Now(),
		rate:    newRequestRate(60),
	}
}

// Steps come at their times; one whose time has passed when the one before is done comes at once.
func TestStagePlaysStepsInOrder(t *testing.T) {
	var times []time.Duration
	synctest.Test(t, func(t *testing.T) {
		stage := newTestStage(10 * time.Second)
		note := func(context.Context, *Stage) error {
			times = append(times, time.Since(stage.started))
			return nil
		}
		long := func(ctx context.Context, _ *Stage) error { return sleep(ctx, 4*time.Second) }
		steps := []Step{at(0.1, note, note), at(0.5, long), at(0.6, note), at(0.2, note)}
		if err := stage.play(t.Context(), steps); err != nil {
			t.Error(err)
		}
	})
	want := []time.Duration{time.Second, time.Second, 9 * time.Second, 9 * time.Second}
	if !slices.Equal(times, want) {
		t.Errorf("at %v instead of %v", times, want)
	}
}

func TestStageEndsWithAnErrorOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stage := newTestStage(10 * time.Second)
		failure := errors.New("failed")
		fail := func(context.Context, *Stage) error { return failure }
		never := func(context.Context, *Stage) error {
			t.Error("the scenario goes on")
			return nil
		}
		if err := stage.play(t.Context(), []Step{at(0, fail, never), at(0.1, never)}); !errors.Is(err, failure) {
			t.Errorf("%v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := stage.play(ctx, []Step{at(0.5, never)}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v", err)
		}
	})
}

func TestStageMeasuresPartsOfTheLoad(t *testing.T) {
	stage := newTestStage(15 * time.Second)
	if part := stage.part(0.15); part != 2250*time.Millisecond {
		t.Errorf("%v", part)
	}
	if part := stage.wholeSeconds(0.15); part != 2*time.Second {
		t.Errorf("%v", part)
	}
	stage.rate.scale(5)
	if rate := stage.rate.current(); rate != 300 {
		t.Errorf("%v requests in a second", rate)
	}
}

// The load lasts until it shows whether service was back in time.
func TestLoadEndsAfterTheLastReturn(t *testing.T) {
	for name, test := range map[string]struct {
		returns []time.Duration
		want    time.Duration
	}{
		"none":         {nil, 15 * time.Second},
		"an early one": {[]time.Duration{time.Second}, 15 * time.Second},
		"a late one":   {[]time.Duration{10 * time.Second}, 10*time.Second + histories.ReturnBound},
		"parts of a second": {
			[]time.Duration{time.Second, 10*time.Second + 1},
			11*time.Second + histories.ReturnBound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			stage := newTestStage(15 * time.Second)
			for _, after := range test.returns {
				back := histories.Return{At: stage.started.Add(after)}
				stage.History.Returns = append(stage.History.Returns, back)
			}
			if length := stage.loadEnd().Sub(stage.started); length != test.want {
				t.Errorf("%v instead of %v", length, test.want)
			}
		})
	}
}
