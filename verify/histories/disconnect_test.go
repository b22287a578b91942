package histories

import (
	"testing"
	"time"
)

// After a client has disconnected, its run may go on for at most DisconnectBound unless its route doesn't cancel runs,
// and no attempt may be sent later than that. The cases check which runs are excused.
func TestWorkForClientsThatLeft(t *testing.T) {
	started := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		change func(history *History, run *Run, attempt *ClientAttempt)
		broken bool
	}{
		"ended in time": {func(_ *History, run *Run, _ *ClientAttempt) { run.Finished = at(3.55) }, false},
		"cancelled in time": {func(_ *History, run *Run, _ *ClientAttempt) {
			run.Canceled, run.Finished = at(3.3), at(9)
		}, false},
		"cancelled too late": {func(_ *History, run *Run, _ *ClientAttempt) {
			run.Canceled, run.Finished = at(3.7), at(9)
		}, true},
		"never cancelled":  {func(_ *History, run *Run, _ *ClientAttempt) { run.Finished = at(9) }, true},
		"not finished yet": {func(_ *History, run *Run, _ *ClientAttempt) { run.Finished = time.Time{} }, true},
		"not cancelled on its route": {func(_ *History, run *Run, attempt *ClientAttempt) {
			run.Finished, attempt.CancelsOnDisconnect = at(9), false
		}, false},
		"by another daemon": {func(_ *History, run *Run, _ *ClientAttempt) {
			run.Finished, run.Daemon = at(9), "d2"
		}, false},
		"by its daemon at another port": {func(_ *History, run *Run, attempt *ClientAttempt) {
			run.Finished, run.Daemon, attempt.Daemon = at(9), "127.40.1.4:7200", "127.40.1.4:8200"
		}, true},
		"sent in time": {func(_ *History, run *Run, attempt *ClientAttempt) {
			attempt.DisconnectedAt, run.Finished = at(2.6), at(3.05)
		}, false},
		"sent too late": {func(_ *History, _ *Run, attempt *ClientAttempt) { attempt.DisconnectedAt = at(2.4) }, true},
		"a faulty daemon": {func(history *History, run *Run, _ *ClientAttempt) {
			run.Finished = at(9)
			history.Faults = []Fault{{At: at(2.9), Until: at(3.2), Daemon: run.Daemon}}
		}, false},
		"a daemon with an earlier fault": {func(history *History, run *Run, _ *ClientAttempt) {
			run.Finished = at(9)
			history.Faults = []Fault{{At: at(2.5), Until: at(3.05), Daemon: run.Daemon}}
		}, true},
		"a faulty runner": {func(history *History, run *Run, _ *ClientAttempt) {
			run.Finished = at(9)
			history.Faults = []Fault{{At: at(2.9), Until: at(3.2), Runner: run.Runner}}
		}, true},
		"known to be sent in time": {func(_ *History, run *Run, attempt *ClientAttempt) {
			attempt.DisconnectedAt, run.Sent = at(2.1), at(2.0)
		}, false},
		"known to be sent too late": {func(history *History, run *Run, attempt *ClientAttempt) {
			attempt.DisconnectedAt, run.Sent = at(2.1), at(2.9)
			history.Faults = []Fault{{At: at(1.4), Until: at(3.2), Runner: run.Runner}}
		}, true},
		"delayed in transit": {func(history *History, run *Run, attempt *ClientAttempt) {
			attempt.Sent, attempt.DisconnectedAt = at(1.5), at(1.6)
			history.Faults = []Fault{{At: at(1.4), Until: at(3.2), Runner: run.Runner}}
		}, false},
		"delayed in transit for too long": {func(history *History, run *Run, attempt *ClientAttempt) {
			attempt.Sent, attempt.DisconnectedAt = at(0.5), at(0.6)
			history.Faults = []Fault{{At: at(0.4), Until: at(3.2), Runner: run.Runner}}
		}, true},
		"sent by a daemon that resumed from a freeze": {func(history *History, run *Run, attempt *ClientAttempt) {
			attempt.Sent, attempt.DisconnectedAt = at(2.2), at(2.3)
			history.Faults = []Fault{{At: at(2.1), Until: at(2.9), Daemon: run.Daemon}}
		}, true},
	} {
		history := clean()
		run, attempt := history.Runs[3], history.Answers[3]
		attempt.DisconnectedAt, attempt.CancelsOnDisconnect, attempt.ClientDisconnected = at(3.1), true, true
		test.change(history, run, attempt)
		violations := Check(history)
		if isNamed := len(violations) == 1 && violations[0].Rule == "left-requester"; isNamed != test.broken ||
			!test.broken && len(violations) > 0 {
			t.Errorf("%s: %v", name, violations)
		}
	}
}
