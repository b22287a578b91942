package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

// warmProfile is the profile of a fast runner without a warm-up period and with current load reports.
var warmProfile = RunnerProfile{Slots: 1, CacheTokens: 1000}

// freeAddress returns a loopback address at which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startRunner starts a runner on a free port and returns its URL; the runner crashes when the test ends.
func startRunner(t *testing.T, profile RunnerProfile) (*Runner, *histories.History, string) {
	t.Helper()
	address := freeAddress(t)
	history := histories.New()
	identity := Identity{ID: "r1", Address: address, Zone: "a", Service: "s", Model: "m", Weights: "w", Backend: "b"}
	runner, err := Start(t.Context(), identity, profile, history)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runner.Crash)
	return runner, history, "http://" + address
}

// get sends a POST request without a body and returns the response's status and body.
func get(ctx context.Context, t *testing.T, url string, header http.Header) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	request.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), errors.Join(err, response.Body.Close())
}

// runHeader returns the headers of a request to /run.
func runHeader(answerTokens string) http.Header {
	header := http.Header{}
	header.Set(admission.HeaderRequest, "q1")
	header.Set(admission.HeaderRoute, "chat")
	header.Set(admission.HeaderRunner, "r1")
	header.Set(admission.HeaderEpoch, "7")
	header.Set(admission.HeaderPromptTokens, "500")
	header.Set(admission.HeaderAnswerTokens, answerTokens)
	header.Set(admission.HeaderPrefix, "system=400")
	return header
}

func TestRunnerResponds(t *testing.T) {
	_, _, url := startRunner(t, warmProfile)
	for path, test := range map[string]struct {
		status int
		body   string
	}{
		"/identity": {200, `{"runner_id":"r1","service":"s","model":"m","weights":"w","adapters":null}`},
		"/pressure": {200, `{"running":0,"waiting":0,"slots":1}`},
		"/other":    {404, ""},
	} {
		status, body, err := get(t.Context(), t, url+path, nil)
		if err != nil || status != test.status || body != test.body {
			t.Errorf("%s: status %d, body %s, error %v", path, status, body, err)
		}
	}
}

func TestRunnerStreamsAndRecordsARun(t *testing.T) {
	runner, history, url := startRunner(t, warmProfile)
	_, body, err := get(t.Context(), t, url+"/run", runHeader("24"))
	want := "id: 1\nevent: token\ndata: {\"run\":\"r1/1\",\"text\":\"rhan 1\"}\n\n" +
		"id: 2\nevent: token\ndata: {\"run\":\"r1/1\",\"text\":\"rhan 2\"}\n\n" +
		"id: 3\nevent: token\ndata: {\"run\":\"r1/1\",\"text\":\"rhan 3\"}\n\n" +
		"id: 4\nevent: done\ndata: {\"run\":\"r1/1\",\"events\":3}\n\n"
	if err != nil || body != want {
		t.Errorf("body %q, want %q; error %v", body, want, err)
	}
	awaitRun(t, history, func(run *histories.Run) bool { return !run.Finished.IsZero() })
	history.Change(func(history *histories.History) {
		run := history.Runs[0]
		if run.Request != "q1" || run.Route != "chat" || run.IntendedRunner != "r1" || run.Epoch != 7 || run.Backend != "b" {
			t.Errorf("recorded %+v", run)
		}
		if !run.Started || !run.Complete || run.Events != 3 || !run.Canceled.IsZero() {
			t.Errorf("recorded %+v, want a complete run with 3 events", run)
		}
	})
	if cached, prompted := runner.CacheUse(); cached != 0 || prompted != 500 {
		t.Errorf("%d of %d prompt tokens cached, want 0 of 500", cached, prompted)
	}
	if free, slots := runner.Capacity(); free != 1 || slots != 1 {
		t.Errorf("%d of %d slots free, want 1 of 1", free, slots)
	}
}

// awaitRun waits until the history contains exactly one run and a condition holds for it.
func awaitRun(t *testing.T, history *histories.History, holds func(run *histories.Run) bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(10 * time.Second); ; <-ticker.C {
		held := false
		history.Change(func(history *histories.History) { held = len(history.Runs) == 1 && holds(history.Runs[0]) })
		if held {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the history doesn't contain the expected run within 10 s")
		}
	}
}

func TestRunnerRejectsBeyondItsQueue(t *testing.T) {
	runner, history, url := startRunner(t, warmProfile)
	runner.requests.admit(1)
	status, body, err := get(t.Context(), t, url+"/run", runHeader("24"))
	if err != nil || status != http.StatusServiceUnavailable || body != `{"started":false}` {
		t.Errorf("status %d, body %s, error %v, want a rejection", status, body, err)
	}
	awaitRun(t, history, func(run *histories.Run) bool { return !run.Started && run.Concurrent == 1 })
}

func TestRunnerBreaksOffStreams(t *testing.T) {
	runner, history, url := startRunner(t, warmProfile)
	runner.Faults.Partial.Store(true)
	_, body, err := get(t.Context(), t, url+"/run", runHeader("48"))
	if err == nil || strings.Count(body, "event: token") > 2 {
		t.Errorf("body %q, error %v, want a stream aborted after 2 of 4 events", body, err)
	}
	awaitRun(t, history, func(run *histories.Run) bool { return !run.Finished.IsZero() && !run.Complete })
}

func TestUnresponsiveRunnerRecordsWhenItsClientLeaves(t *testing.T) {
	runner, history, url := startRunner(t, warmProfile)
	runner.Faults.Unresponsive.Store(true)
	if free, slots := runner.Capacity(); free != 0 || slots != 0 {
		t.Errorf("%d of %d slots free, want none of an unresponsive runner", free, slots)
	}
	ctx, disconnect := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, _, err := get(ctx, t, url+"/run", runHeader("24"))
		failed <- err
	}()
	awaitRun(t, history, func(run *histories.Run) bool { return run.Started })
	disconnect()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("error of the cancelled request: %v", err)
	}
	awaitRun(t, history, func(run *histories.Run) bool { return !run.Canceled.IsZero() })
}

func TestCrashResetsConnectionsAndClosesTheAddress(t *testing.T) {
	runner, _, url := startRunner(t, warmProfile)
	runner.Faults.Unresponsive.Store(true)
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", runner.Address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(connection, "GET /identity HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitConnections(t, runner.connections, 1)
	runner.Crash()
	runner.Crash()
	if _, err := io.ReadAll(connection); err == nil {
		t.Error("the connection ended without a reset")
	}
	if _, _, err := get(t.Context(), t, url+"/identity", nil); err == nil {
		t.Error("the runner's address still accepts requests")
	}
	if err := connection.Close(); err != nil {
		t.Error(err)
	}
}

// awaitConnections waits until a set contains count connections.
func awaitConnections(t *testing.T, connections *connectionSet, count int) {
	t.Helper()
	for range 10_000 {
		connections.mutex.Lock()
		open := len(connections.open)
		connections.mutex.Unlock()
		if open == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the number of open connections doesn't become %d", count)
}

func TestStartFailsWhereTheAddressIsInUse(t *testing.T) {
	runner, history, _ := startRunner(t, warmProfile)
	if _, err := Start(t.Context(), runner.Identity, warmProfile, history); err == nil {
		t.Error("two runners listen at one address")
	}
}
