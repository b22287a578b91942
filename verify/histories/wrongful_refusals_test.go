package histories

import (
	"fmt"
	"testing"
	"time"
)

// A daemon that nothing touched must serve, unless half of the others are touched or a minority of the control
// machines is left.
func TestUntouchedDaemonMustServe(t *testing.T) {
	for name, test := range map[string]struct {
		touched      int
		minorityLeft bool
		excused      bool
	}{
		"nothing is touched":           {0, false, false},
		"some daemons":                 {5, false, false},
		"half of the daemons":          {6, false, true},
		"a minority of cores is left":  {0, true, true},
		"a fault that has been undone": {-1, false, false},
	} {
		history := clean()
		history.Daemons = 12
		at := func(seconds int) time.Time { return history.Started.Add(time.Duration(seconds) * time.Second) }
		for number := range max(0, test.touched) {
			history.Faults = append(history.Faults, Fault{At: at(50), Until: at(60), Daemon: fmt.Sprint("d", number)})
		}
		for number := range 6 * max(0, -test.touched) {
			history.Faults = append(history.Faults, Fault{At: at(1), Until: at(2), Daemon: fmt.Sprint("d", number)})
		}
		answer := &Answer{Daemon: "other", Sent: at(54), Got: at(55), Kind: "not_serving", MinorityLeft: test.minorityLeft}
		if why := lonelyDaemon(NewChecker(history, history.Final.Known), answer); (why == "") != test.excused {
			t.Errorf("%s: %q", name, why)
		}
	}
}
