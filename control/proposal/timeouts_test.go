package proposal

import (
	"testing"
	"time"
)

// Each timeout exceeds the one nested inside it. Otherwise a known outcome could be reported as unknown.
func TestTimeoutsOutlastOneAnother(t *testing.T) {
	t.Parallel()
	waits := []struct {
		name string
		wait time.Duration
		want time.Duration
	}{
		{"a deferred request at the head", deferTimeout, 2 * time.Second},
		{"a submitted change at the head", acknowledgeTimeout, 5 * time.Second},
		{"a request at the process that received it", RequestTimeout, 6 * time.Second},
		{"a client", ClientTimeout, 9 * time.Second},
		{"a connection", ConnectionTimeout, 10 * time.Second},
	}
	for index, outer := range waits {
		if outer.wait != outer.want {
			t.Errorf("%s waits %v, which is not the documented time", outer.name, outer.wait)
		}
		if index == 0 {
			continue
		}
		if inner := waits[index-1]; outer.wait <= inner.wait {
			t.Errorf("%s waits %v, which does not exceed %s with %v", outer.name, outer.wait, inner.name, inner.wait)
		}
	}
	if resendInterval >= deferTimeout {
		t.Errorf("a deferred request expires before its origin resends it after %v", resendInterval)
	}
}
