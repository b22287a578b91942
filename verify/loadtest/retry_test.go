package loadtest

import (
	"testing"
	"time"
)

// Clients retry only at-most-once requests, after delays that increase with the attempt number and are at most
// maximumRetryDelay.
func TestResendsAreDrawn(t *testing.T) {
	source := newClientSource(Guild, []string{"a", "b"}, 1)
	atMostOnce, retried := 0, 0
	for range 200 {
		client := source.next(behavior{retryShare: 0.5})
		if client.request.Kind.AtMostOnce {
			atMostOnce++
		}
		if client.request.Attempt != 1 {
			t.Fatalf("the first attempt has number %d", client.request.Attempt)
		}
		if len(client.retries) > 0 && !client.request.Kind.AtMostOnce {
			t.Fatal("an idempotent request is retried")
		}
		last := time.Duration(0)
		for _, retry := range client.retries {
			if retry.after < last || retry.after > maximumRetryDelay || retry.zone == "" {
				t.Fatalf("retries out of order, too late or without a zone: %+v", client.retries)
			}
			last = retry.after
		}
		if len(client.retries) > 0 {
			retried++
		}
	}
	if retried < atMostOnce/4 || retried > 3*atMostOnce/4 || retried == 0 {
		t.Errorf("%d of %d at-most-once requests are retried, want about half", retried, atMostOnce)
	}
	if client := (drawnClient{zone: "a"}).withRetry(3, scheduledRetry{zone: "b"}); client.request.Attempt != 3 ||
		client.zone != "b" {
		t.Errorf("%+v, want attempt 3 in zone b", client)
	}
}

func TestTermsAreTheNewestOfTheirZone(t *testing.T) {
	terms := newTerms()
	for _, value := range []string{"7", "5", "", "no number"} {
		terms.learn("a", value)
	}
	if a, b := terms.of("a"), terms.of("b"); a != 7 || b != 0 {
		t.Errorf("newest terms %d in zone a and %d in zone b, want 7 and 0", a, b)
	}
}
