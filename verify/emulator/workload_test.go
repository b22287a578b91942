package emulator

import (
	"testing"
	"time"
)

func TestWorkloadAdmitsUpToALimit(t *testing.T) {
	load := &workload{slots: 1}
	for want := range 2 {
		if concurrent, number, admitted := load.admit(2); !admitted || concurrent != want || number != want+1 {
			t.Errorf("request %d: beside %d, admitted %v", number, concurrent, admitted)
		}
	}
	if concurrent, _, admitted := load.admit(2); admitted || concurrent != 2 {
		t.Errorf("a third request beside %d: admitted %v", concurrent, admitted)
	}
	load.release()
	if concurrent, number, admitted := load.admit(2); !admitted || concurrent != 1 || number != 3 {
		t.Errorf("after a release: request %d beside %d, admitted %v", number, concurrent, admitted)
	}
}

func TestWorkloadReportsAreOld(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	load := &workload{slots: 2}
	load.observe(at(1))
	for range 3 {
		load.admit(10)
	}
	load.observe(at(2))
	for moment, want := range map[time.Time]loadReport{
		at(0): {},
		at(1): {at: at(1)},
		at(2): {at: at(2), running: 2, waiting: 1},
		at(9): {at: at(2), running: 2, waiting: 1},
	} {
		if report := load.reportBefore(moment); report != want {
			t.Errorf("at %v: %+v instead of %+v", moment.Sub(start), report, want)
		}
	}
	for second := range 2 * keptReports {
		load.observe(at(10 + second))
	}
	if len(load.reports) != keptReports {
		t.Errorf("%d reports are kept", len(load.reports))
	}
}
