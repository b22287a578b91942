package histories

import (
	"fmt"
	"testing"
	"time"
)

// A daemon without a fault must serve, unless half of the daemons have faults or only a minority of the control
// machines is left. A refusal as not serving is otherwise wrong.
func TestUntouchedDaemonMustServe(t *testing.T) {
	for name, test := range map[string]struct {
		faulty       int
		minorityLeft bool
		excused      bool
	}{
		"no fault":                               {0, false, false},
		"some daemons":                           {5, false, false},
		"half of the daemons":                    {6, false, true},
		"a minority of control machines is left": {0, true, true},
		"faults that ended long before":          {-1, false, false},
	} {
		history := clean()
		history.Daemons = 12
		at := func(seconds int) time.Time { return history.Started.Add(time.Duration(seconds) * time.Second) }
		for number := range max(0, test.faulty) {
			history.Faults = append(history.Faults, Fault{At: at(50), Until: at(60), Daemon: fmt.Sprint("d", number)})
		}
		for number := range 6 * max(0, -test.faulty) {
			history.Faults = append(history.Faults, Fault{At: at(1), Until: at(2), Daemon: fmt.Sprint("d", number)})
		}
		attempt := &ClientAttempt{Daemon: "other", Sent: at(54), Got: at(55), Kind: "not_serving",
			MinorityLeft: test.minorityLeft}
		if why := faultlessDaemon(NewChecker(history, history.Final.Known), attempt); (why == "") != test.excused {
			t.Errorf("%s: %q", name, why)
		}
	}
}
