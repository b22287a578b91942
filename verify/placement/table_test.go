package placement

import (
	"strings"
	"testing"
	"time"
)

func TestTableHasALineForEachRouteAndAll(t *testing.T) {
	output := &strings.Builder{}
	printed := newTable(output, []string{"RATE", "WAY"}, []column[Result]{
		{"REQUESTS", func(result *Result) string { return count(result.Requests) }},
		{"CACHED", func(result *Result) string { return percent(result.Cached, result.Prompted) }},
	})
	printed.printRun([]string{"60", "random"}, map[string]*Result{
		"survey":  {Requests: 1},
		allRoutes: {Requests: 12, Cached: 1, Prompted: 4},
	})
	if err := printed.flush(); err != nil {
		t.Fatal(err)
	}
	want := "RATE  WAY     LANE    REQUESTS  CACHED\n" +
		"60    random  all     12        25%\n" +
		"60    random  survey  1         0%\n"
	if got := output.String(); got != want {
		t.Errorf("printed\n%sinstead of\n%s", got, want)
	}
}

func TestCells(t *testing.T) {
	for _, trial := range []struct{ got, want string }{
		{count(7), "7"},
		{percent(1, 3), "33%"},
		{percent(0, 0), "0%"},
		// Ties are rounded to even, as the exact value says.
		{permille(49, 400), "12.2%"},
		{thousandths(0.8971), "0.897"},
		{latency(1234567 * time.Microsecond), "1.235s"},
	} {
		if trial.got != trial.want {
			t.Errorf("%q instead of %q", trial.got, trial.want)
		}
	}
}
