package codec

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/transport/netio"
)

// parseResponse reads a response from its bytes.
func parseResponse(t *testing.T, raw string) *fasthttp.Response {
	t.Helper()
	read := &fasthttp.Response{StreamBody: true}
	if err := read.ReadLimitBody(bufio.NewReader(strings.NewReader(raw)), -1); err != nil {
		t.Fatal(err)
	}
	return read
}

// Only the runner's own statement says that a request did not start.
func TestNativeJudge(t *testing.T) {
	for raw, want := range map[string]Disposition{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                      Streams,
		"HTTP/1.1 503 x\r\nContent-Length: 17\r\n\r\n{\"started\":false}":                            NotExecuted,
		"HTTP/1.1 429 x\r\nContent-Length: 17\r\n\r\n{\"started\":false}":                            NotExecuted,
		"HTTP/1.1 503 x\r\nContent-Length: 16\r\n\r\n{\"started\":true}":                             Unclear,
		"HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\n{}":                                              Unclear,
		"HTTP/1.1 503 x\r\nContent-Length: 17\r\n\r\n{\"started\":":                                  Unclear,
		"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n":                                                Unclear,
		"HTTP/1.1 500 x\r\nContent-Length: 4\r\n\r\noops":                                            Unclear,
		"HTTP/1.1 204 x\r\n\r\n":                                                                     Unclear,
		"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n{\"started\":false}\r\n0\r\n\r\n": NotExecuted,
	} {
		head := Native{}.Classify(parseResponse(t, raw), &admission.Request{}, Attempt{})
		if head.Disposition != want {
			t.Errorf("%q: %q instead of %q", raw, head.Disposition, want)
		}
	}
}

// What is sent is parsed as the request that was received, with what concerns this attempt.
func TestNativeOutgoing(t *testing.T) {
	request := &admission.Request{ID: "r", Route: "l", Model: "m", Adapter: "cy", PromptTokens: 100, AnswerTokens: 10,
		Parts: []string{"a", "b"}, PartTokens: []int{30, 20}, Body: []byte(`{"prompt":"x"}`)}
	runner := load.Runner{ID: "r1", Address: "10.0.0.1:80"}
	for name, trial := range map[string]struct {
		run    Attempt
		wanted map[string]string
	}{
		"plain": {Attempt{Runner: runner, Daemon: "d", Epoch: 7}, map[string]string{
			admission.HeaderRunner:  "r1",
			admission.HeaderDaemon:  "d",
			admission.HeaderEpoch:   "7",
			admission.HeaderWait:    "",
			admission.HeaderAfter:   "",
			admission.HeaderAdapter: "cy",
			admission.HeaderPrompt:  "100",
		}},
		"resumed, with a bound": {Attempt{
			Runner: runner, Remaining: 1500 * time.Millisecond, LastEventID: 3,
		}, map[string]string{
			admission.HeaderWait:  "1500",
			admission.HeaderAfter: "3",
		}},
	} {
		reader := bufio.NewReader(strings.NewReader(string(Native{}.EncodeRequest(request, trial.run))))
		read, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatal(err)
		}
		for header, value := range trial.wanted {
			if got := read.Header.Get(header); got != value {
				t.Errorf("%s: %s is %q instead of %q", name, header, got, value)
			}
		}
		if read.Method != http.MethodPost || read.URL.Path != "/run" {
			t.Errorf("%s: %s %s", name, read.Method, read.URL.Path)
		}
		again, err := admission.Parse(read.Header.Values, request.Body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if again.ID != "r" || again.Route != "l" || strings.Join(again.Parts, " ") != "a b" ||
			again.LastEventID != trial.run.LastEventID || again.Timeout != trial.run.Remaining {
			t.Errorf("%s: %+v", name, again)
		}
	}
}

func TestNativeRefuse(t *testing.T) {
	for kind, status := range statuses {
		context := &fasthttp.RequestCtx{}
		refusal := Refusal{Code: kind, Detail: "why", Ran: "unknown", RetryAfter: 1200 * time.Millisecond}
		Native{}.Refuse(netio.FromHTTP(context), nil, refusal)
		written := Refusal{}
		if err := json.Unmarshal(context.Response.Body(), &written); err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
		if written.Code != kind || written.Detail != "why" || written.Remedy == "" || written.RetryMS != 1200 ||
			context.Response.StatusCode() != status || string(context.Response.Header.Peek("Retry-After")) != "2" {
			t.Errorf("%s: %s", kind, context.Response.String())
		}
	}
}

func TestNativeBroken(t *testing.T) {
	event := string(Native{}.ErrorEvent(4, Refusal{Code: apierror.RunFailed}))
	if !strings.HasPrefix(event, "id: 5\nevent: error\ndata: {") || !strings.HasSuffix(event, "}\n\n") {
		t.Error(event)
	}
}

func TestNativeReport(t *testing.T) {
	report, err := Native{}.ParseReport([]byte(`{"running":1,"waiting":2,"slots":3}`))
	if err != nil || report.Running != 1 || report.Waiting != 2 || report.Slots != 3 {
		t.Errorf("%+v, %v", report, err)
	}
	if _, err := (Native{}).ParseReport([]byte(`{`)); !apierror.Is(err, apierror.Unreachable) {
		t.Errorf("malformed: %v", err)
	}
}
