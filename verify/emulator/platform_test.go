package emulator

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"wardtray/verify/histories"
)

func TestPlatformCanBeClosedAtOnce(t *testing.T) {
	for range 100 {
		platform, err := NewPlatform(t.Context(), "127.0.0.1:0", nil, histories.New(), 1)
		if err != nil {
			t.Fatal(err)
		}
		platform.Close()
	}
}

func TestPlatformServesItsListAndProbesDaemons(t *testing.T) {
	listener, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	daemon := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/fitness" {
				response.WriteHeader(http.StatusNotFound)
			}
		}),
	}
	go func() { _ = daemon.Serve(listener) }()
	t.Cleanup(func() { _ = daemon.Close() })
	runner, history, _ := startRunner(t, warmProfile)
	ready, refuses := listener.Addr().String(), freeAddress(t)
	address := freeAddress(t)
	platform, err := NewPlatform(t.Context(), address, map[string][]string{"a": {refuses}, "b": {ready}}, history, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	platform.Set(runner, StateReady)
	var body string
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		_, body, err = get(t.Context(), t, "http://"+address+"/runners", nil)
		if platform.Pick("a") == ready && err == nil && body != "[]" {
			break
		}
	}
	listed := []listedRunner{}
	if err := json.Unmarshal([]byte(body), &listed); err != nil || len(listed) != 1 || listed[0].State != StateReady {
		t.Errorf("listed %s, error %v", body, err)
	}
	if picked := platform.Pick("a"); picked != ready {
		t.Errorf("picked %q, want %q", picked, ready)
	}
	if platform.IsPastSlowStart(runner) {
		t.Error("a runner counts as past its slow start immediately")
	}
}
