package loadtest

import (
	"testing"
	"time"
)

// Clients that send again number their sendings in order, and do so for requests that run at most once alone.
func TestResendsAreDrawn(t *testing.T) {
	source := newClientSource(Guild, []string{"a", "b"}, 1)
	onces, resent := 0, 0
	for range 200 {
		client := source.next(behavior{resends: 0.5})
		if client.request.Kind.Once {
			onces++
		}
		if client.request.Attempt != 1 {
			t.Fatalf("the first sending has number %d", client.request.Attempt)
		}
		if len(client.resends) > 0 && !client.request.Kind.Once {
			t.Fatal("a request that may run more than once is sent again")
		}
		last := time.Duration(0)
		for _, resend := range client.resends {
			if resend.after < last || resend.after > latestResend || resend.zone == "" {
				t.Fatalf("%+v", client.resends)
			}
			last = resend.after
		}
		if len(client.resends) > 0 {
			resent++
		}
	}
	if resent < onces/4 || resent > 3*onces/4 || resent == 0 {
		t.Errorf("%d of %d sent again", resent, onces)
	}
	if again := (drawnClient{zone: "a"}).again(3, resend{zone: "b"}); again.request.Attempt != 3 || again.zone != "b" {
		t.Errorf("%+v", again)
	}
}

func TestTermsAreTheNewestOfTheirZone(t *testing.T) {
	terms := newTerms()
	for _, value := range []string{"7", "5", "", "no number"} {
		terms.learn("a", value)
	}
	if a, b := terms.of("a"), terms.of("b"); a != 7 || b != 0 {
		t.Errorf("%d and %d", a, b)
	}
}
