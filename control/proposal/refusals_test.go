package proposal

import (
	"fmt"
	"strings"
	"testing"
)

// Each incarnation of a process has its own window, and the tracked refusals and incarnations stay bounded.
func TestRefusalWindows(t *testing.T) {
	t.Parallel()
	refusals := &refusals{}
	for number := 1; number <= 3*RefusalWindow; number++ {
		token := fmt.Sprintf("a/1/%d", number)
		if late, refused := refusals.observe(token); late || refused {
			t.Fatalf("%s: late %v, refused %v", token, late, refused)
		}
		refusals.add(token)
		if _, refused := refusals.observe(token); !refused || len(refusals.origins["a/1/"].refused) > RefusalWindow {
			t.Fatalf("%s: refused %v, with %d refusals tracked", token, refused, len(refusals.origins["a/1/"].refused))
		}
	}
	for _, test := range []struct {
		number        int
		late, refused bool
	}{
		{1, true, false},
		{2 * RefusalWindow, true, false},
		{2*RefusalWindow + 1, false, true},
		{3*RefusalWindow + 1, false, false},
		{2*RefusalWindow + 1, true, false},
	} {
		late, refused := refusals.observe(fmt.Sprintf("a/1/%d", test.number))
		if late != test.late || refused != test.refused {
			t.Errorf("request %d: late %v, refused %v", test.number, late, refused)
		}
	}
	if late, refused := refusals.observe("a/2/1"); late || refused {
		t.Error("a request of a new incarnation counts as late by the window of the previous incarnation")
	}
	for incarnation := range 2 * maximumOrigins {
		refusals.observe(fmt.Sprintf("b/%d/1", incarnation))
	}
	if len(refusals.origins) > maximumOrigins {
		t.Errorf("%d incarnations are tracked", len(refusals.origins))
	}
	if origin, number := splitToken(strings.Repeat("x", 3)); origin != "xxx" || number != 0 {
		t.Error("a token without a number is not taken as the origin")
	}
}
