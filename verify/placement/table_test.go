package placement

import (
	"strings"
	"testing"
	"time"
)

func TestTableHasALineForEachRouteAndAll(t *testing.T) {
	output := &strings.Builder{}
	printed := newTable(output, []string{"RATE", "WAY"}, []column[SlotResult]{
		{"REQUESTS", func(result *SlotResult) string { return count(result.Requests) }},
		{"CACHED", func(result *SlotResult) string { return percent(result.CachedTokens, result.PromptTokens) }},
	})
	printed.printRun([]string{"60", "random"}, map[string]*SlotResult{
		"survey":  {Requests: 1},
		allRoutes: {Requests: 12, CachedTokens: 1, PromptTokens: 4},
	})
	if err := printed.flush(); err != nil {
		t.Fatal(err)
	}
	want := "RATE  WAY     LANE    REQUESTS  CACHED\n" +
		"60    random  all     12        25%\n" +
		"60    random  survey  1         0%\n"
	if got := output.String(); got != want {
		t.Errorf("printed\n%swant\n%s", got, want)
	}
}

func TestCells(t *testing.T) {
	for _, trial := range []struct{ got, want string }{
		{count(7), "7"},
		{percent(1, 3), "33%"},
		{percent(0, 0), "0%"},
		// The exact value is a tie, which is rounded to even.
		{permille(49, 400), "12.2%"},
		{thousandths(0.8971), "0.897"},
		{latency(1234567 * time.Microsecond), "1.235s"},
	} {
		if trial.got != trial.want {
			t.Errorf("cell %q, want %q", trial.got, trial.want)
		}
	}
}
