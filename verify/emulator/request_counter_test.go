package emulator

import (
	"testing"
	"time"
)

func TestWorkloadAdmitsUpToALimit(t *testing.T) {
	counter := &requestCounter{slots: 1}
	for want := range 2 {
		if concurrent, number, admitted := counter.admit(2); !admitted || concurrent != want || number != want+1 {
			t.Errorf("request %d: %d others, admitted %v", number, concurrent, admitted)
		}
	}
	if concurrent, _, admitted := counter.admit(2); admitted || concurrent != 2 {
		t.Errorf("third request: %d others, admitted %v, want a rejection", concurrent, admitted)
	}
	counter.release()
	if concurrent, number, admitted := counter.admit(2); !admitted || concurrent != 1 || number != 3 {
		t.Errorf("after a release: request %d, %d others, admitted %v, want request 3 admitted with 1 other", number,
			concurrent, admitted)
	}
}

func TestWorkloadReportsAreOld(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	counter := &requestCounter{slots: 2}
	counter.recordReport(at(1))
	for range 3 {
		counter.admit(10)
	}
	counter.recordReport(at(2))
	for moment, want := range map[time.Time]loadReport{
		at(0): {},
		at(1): {at: at(1)},
		at(2): {at: at(2), running: 2, waiting: 1},
		at(9): {at: at(2), running: 2, waiting: 1},
	} {
		if report := counter.reportBefore(moment); report != want {
			t.Errorf("at %v: report %+v, want %+v", moment.Sub(start), report, want)
		}
	}
	for second := range 2 * maximumReports {
		counter.recordReport(at(10 + second))
	}
	if len(counter.reports) != maximumReports {
		t.Errorf("%d reports are kept, want the maximum", len(counter.reports))
	}
}
