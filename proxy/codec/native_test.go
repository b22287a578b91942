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

// parseResponse parses a raw HTTP response.
func parseResponse(t *testing.T, raw string) *fasthttp.Response {
	t.Helper()
	response := &fasthttp.Response{StreamBody: true}
	if err := response.ReadLimitBody(bufio.NewReader(strings.NewReader(raw)), -1); err != nil {
		t.Fatal(err)
	}
	return response
}

// A request counts as not executed only if the runner states so: a retry after any other response may run it twice.
func TestNativeClassify(t *testing.T) {
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
			t.Errorf("%q: disposition %q, want %q", raw, head.Disposition, want)
		}
	}
}

// A request to a runner must hold everything that the client's request held, and the parameters of the attempt. The
// test parses the encoded request again.
func TestNativeEncodeRequest(t *testing.T) {
	request := &admission.Request{ID: "r", Route: "l", Model: "m", Adapter: "cy", PromptTokens: 100, AnswerTokens: 10,
		Parts: []string{"a", "b"}, PartTokens: []int{30, 20}, Body: []byte(`{"prompt":"x"}`)}
	runner := load.Runner{ID: "r1", Address: "10.0.0.1:80"}
	for name, test := range map[string]struct {
		attempt Attempt
		want    map[string]string
	}{
		"plain": {Attempt{Runner: runner, Daemon: "d", Epoch: 7}, map[string]string{
			admission.HeaderRunner:       "r1",
			admission.HeaderDaemon:       "d",
			admission.HeaderEpoch:        "7",
			admission.HeaderTimeout:      "",
			admission.HeaderLastEventID:  "",
			admission.HeaderAdapter:      "cy",
			admission.HeaderPromptTokens: "100",
		}},
		"resumed, with a bound": {Attempt{
			Runner: runner, Remaining: 1500 * time.Millisecond, LastEventID: 3,
		}, map[string]string{
			admission.HeaderTimeout:     "1500",
			admission.HeaderLastEventID: "3",
		}},
	} {
		reader := bufio.NewReader(strings.NewReader(string(Native{}.EncodeRequest(request, test.attempt))))
		sent, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatal(err)
		}
		for header, value := range test.want {
			if got := sent.Header.Get(header); got != value {
				t.Errorf("%s: header %s is %q, want %q", name, header, got, value)
			}
		}
		if sent.Method != http.MethodPost || sent.URL.Path != "/run" {
			t.Errorf("%s: sent as %s %s", name, sent.Method, sent.URL.Path)
		}
		parsed, err := admission.Parse(sent.Header.Values, request.Body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if parsed.ID != "r" || parsed.Route != "l" || strings.Join(parsed.Parts, " ") != "a b" ||
			parsed.LastEventID != test.attempt.LastEventID || parsed.Timeout != test.attempt.Remaining {
			t.Errorf("%s: parsed back as %+v", name, parsed)
		}
	}
}

func TestNativeRefuse(t *testing.T) {
	for code, status := range statuses {
		context := &fasthttp.RequestCtx{}
		refusal := Refusal{Code: code, Detail: "why", Ran: "unknown", RetryAfter: 1200 * time.Millisecond}
		Native{}.Refuse(netio.FromHTTP(context), nil, refusal)
		written := Refusal{}
		if err := json.Unmarshal(context.Response.Body(), &written); err != nil {
			t.Fatalf("%s: %v", code, err)
		}
		if written.Code != code || written.Detail != "why" || written.Remedy == "" || written.RetryMS != 1200 ||
			context.Response.StatusCode() != status || string(context.Response.Header.Peek("Retry-After")) != "2" {
			t.Errorf("%s: wrong refusal: %s", code, context.Response.String())
		}
	}
}

func TestNativeErrorEvent(t *testing.T) {
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
		t.Errorf("malformed report: %v", err)
	}
}
