package process

import (
	"testing"

	"wardtray/apierror"
)

func TestProblemsAreOneError(t *testing.T) {
	found := &problems{}
	found.address("http", "127.0.0.1:80")
	if err := found.err(); err != nil {
		t.Fatalf("a valid address: %v", err)
	}
	for _, address := range []string{"", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:"} {
		found = &problems{}
		found.address("http", address)
		if len(found.details) != 1 {
			t.Errorf("%q: %q", address, found.details)
		}
	}
	found.add("zone: %d", 7)
	if detail := apierror.Of(found.err()).Detail; detail != `http: "127.0.0.1:" is no ip:port; zone: 7` {
		t.Errorf("detail %q", detail)
	}
}
