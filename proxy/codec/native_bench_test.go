package codec

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/transport/netio"
)

// promptLength is the length of the benchmarked prompt, in bytes.
const promptLength = 4000

// benchmarkedRequest returns a client's request with a prompt of promptLength bytes.
func benchmarkedRequest() *fasthttp.RequestCtx {
	request := &fasthttp.RequestCtx{}
	for name, value := range map[string]string{
		admission.HeaderRequest:      "r-1",
		admission.HeaderRoute:        "chat",
		admission.HeaderModel:        "m",
		admission.HeaderPromptTokens: "1000",
		admission.HeaderAnswerTokens: "100",
	} {
		request.Request.Header.Set(name, value)
	}
	request.Request.SetBodyString(`{"prompt":"` + strings.Repeat("x", promptLength) + `"}`)
	return request
}

func BenchmarkNativeRead(b *testing.B) {
	client := netio.FromHTTP(benchmarkedRequest())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (Native{}).Read(client); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNativeEncodeRequest(b *testing.B) {
	request, err := Native{}.Read(netio.FromHTTP(benchmarkedRequest()))
	if err != nil {
		b.Fatal(err)
	}
	attempt := Attempt{Runner: load.Runner{ID: "r07-3"}, Daemon: "d1", Epoch: 9, Remaining: time.Second, Urgency: 5}
	b.ReportAllocs()
	for b.Loop() {
		(Native{}).EncodeRequest(request, attempt)
	}
}
