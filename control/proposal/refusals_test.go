package proposal

import (
	"fmt"
	"strings"
	"testing"
)

// The window of each incarnation of a machine is its own, and what is remembered stays bounded.
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
			t.Fatalf("%s: refused %v of %d", token, refused, len(refusals.origins["a/1/"].refused))
		}
	}
	for _, wants := range []struct {
		number        int
		late, refused bool
	}{
		{1, true, false},
		{2 * RefusalWindow, true, false},
		{2*RefusalWindow + 1, false, true},
		{3*RefusalWindow + 1, false, false},
		{2*RefusalWindow + 1, true, false},
	} {
		late, refused := refusals.observe(fmt.Sprintf("a/1/%d", wants.number))
		if late != wants.late || refused != wants.refused {
			t.Errorf("%d: late %v, refused %v", wants.number, late, refused)
		}
	}
	if late, refused := refusals.observe("a/2/1"); late || refused {
		t.Error("another incarnation goes by the window of the one before")
	}
	for incarnation := range 2 * maximumOrigins {
		refusals.observe(fmt.Sprintf("b/%d/1", incarnation))
	}
	if len(refusals.origins) > maximumOrigins {
		t.Errorf("%d incarnations are remembered", len(refusals.origins))
	}
	if origin, number := splitToken(strings.Repeat("x", 3)); origin != "xxx" || number != 0 {
		t.Error("a token of another shape")
	}
}
