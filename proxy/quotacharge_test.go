package proxy

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/quota"
)

// tenants gives a daemon two tenants, of which one has a quota; it answers each question for tokens by a function.
func (daemon *testDaemon) tenants(t *testing.T, issue func(claims []quota.TenantReport) []quota.Share) {
	t.Helper()
	spec := *daemon.snapshot.Catalog.Spec
	spec.Tenants = []config.Tenant{
		{Name: "limited", Keys: []string{"limited-key"}, Quota: config.Quota{Rate: 1000, Burst: 1000, Tokens: true}},
		{Name: "free", Keys: []string{"free-key"}},
	}
	daemon.snapshot = &config.Snapshot{
		SpecEpoch: 2,
		Catalog:   config.NewCatalog(&spec),
		Until:     time.Now().Add(time.Hour),
	}
	var number atomic.Uint64
	daemon.Quota = quota.NewLimiter()
	daemon.RequestQuota = func() {
		now, asked := time.Now(), number.Add(1)
		claims := daemon.Quota.Report(now, asked)
		if issue != nil {
			daemon.Quota.ApplyGrant(now, asked, time.Minute, issue(claims))
		}
	}
}

func withKey(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key, "Wardtray-Tenant": "somebody else"}
}

// headers keeps what a runner was sent beside its answer.
type headerRecorder struct{ seen []http.Header }

func (recorder *headerRecorder) answer(connection net.Conn, request *http.Request) {
	recorder.seen = append(recorder.seen, request.Header.Clone())
	events(1, done(1), true)(connection, request)
}

func TestOnlyKnownKeysOpenARoute(t *testing.T) {
	recorder := &headerRecorder{}
	runner := startRunner(t, "r1", recorder.answer)
	daemon := newDaemon(t, runner)
	daemon.tenants(t, nil)
	for name, more := range map[string]map[string]string{
		"no key":         nil,
		"an unknown key": withKey("nobodys"),
		"another scheme": {"Authorization": "Token free-key"},
	} {
		status, body := daemon.sendWith(t, "free", "x"+name, more)
		if status != 401 || !strings.Contains(body, scheduler.DidNotRun) || strings.Contains(body, "nobodys") {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
	if runner.reached.Load() != 0 {
		t.Fatal("a request without a known key reached a runner")
	}
	if status, body := daemon.sendWith(t, "free", "known", withKey("free-key")); status != 200 {
		t.Fatalf("a known key: %d %s", status, body)
	}
	if sent := recorder.seen[0]; sent.Get("Wardtray-Tenant") != "free" || sent.Get("Authorization") != "" {
		t.Errorf("the runner was sent %v", sent)
	}
}

// A key that was taken away between the decision and the write opens nothing any more, and neither does one whose
// daemon is not certain of its configuration.
func TestRevokedKeyStopsTheLastCheck(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	daemon.tenants(t, nil)
	previous := daemon.Environment.Now
	revoked := *daemon.snapshot.Catalog.Spec
	revoked.Tenants = revoked.Tenants[:1]
	var reads atomic.Int64
	snapshot := daemon.Snapshot
	daemon.Snapshot = func() *config.Snapshot {
		// The first looks find the key, those directly before the write the newer spec.
		if reads.Add(1) > 5 {
			return &config.Snapshot{
				SpecEpoch: 3,
				Catalog:   config.NewCatalog(&revoked),
				Until:     previous().Add(time.Hour),
			}
		}
		return snapshot()
	}
	if status, body := daemon.sendWith(t, "free", "revoked", withKey("free-key")); status != 401 ||
		!strings.Contains(body, scheduler.DidNotRun) {
		t.Errorf("%d %s", status, body)
	}
	if runner.reached.Load() != 0 {
		t.Error("a request with a revoked key reached a runner")
	}
}

// What the share does not hold is asked for at once, and each request is charged once, whatever becomes of its
// attempts.
func TestRequestsAreChargedOnce(t *testing.T) {
	runner := startRunner(t, "r1", rejects, events(1, done(1), true))
	second := startRunner(t, "r2", events(1, done(1), true))
	daemon := newDaemon(t, runner, second)
	var given float64
	daemon.tenants(t, func(claims []quota.TenantReport) []quota.Share {
		given += claims[0].Need
		return []quota.Share{{Tenant: "limited", Tokens: claims[0].Need, Capacity: 1000}}
	})
	if status, body := daemon.sendWith(t, "free", "charged", withKey("limited-key")); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	// A request of these tests has 100 tokens and an answer of at most 10.
	if used := daemon.Quota.Usage(time.Now())["limited"].Used; used != 110 || given != 110 {
		t.Errorf("%v used, %v given", used, given)
	}
	if status, _ := daemon.sendWith(t, "free", "free", withKey("free-key")); status != 200 || given != 110 {
		t.Errorf("a tenant without a quota: %d, %v given", status, given)
	}
}

// A spent quota is reported at once, with a promise that nothing ran and a time to come back.
func TestSpentQuotaIsRefused(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	for name, issue := range map[string]func([]quota.TenantReport) []quota.Share{
		"the issuer has none": func([]quota.TenantReport) []quota.Share {
			return []quota.Share{{Tenant: "limited", Rate: 100, Capacity: 50}}
		},
		"the issuer is silent": nil,
	} {
		t.Run(name, func(t *testing.T) {
			daemon := newDaemon(t, runner)
			daemon.tenants(t, issue)
			started := time.Now()
			status, body := daemon.sendWith(t, "free", "spent", withKey("limited-key"))
			if status != 429 || !strings.Contains(body, scheduler.DidNotRun) ||
				!strings.Contains(body, "quota_spent") ||
				!strings.Contains(body, "retry_after_ms") {
				t.Errorf("%d %s", status, body)
			}
			if took := time.Since(started); took > 2*quotaTimeout {
				t.Errorf("the refusal took %v", took)
			}
			if usage := daemon.Quota.Usage(time.Now())["limited"]; usage.Refused != 110 || usage.Used != 0 {
				t.Errorf("counted %+v", usage)
			}
		})
	}
	if runner.reached.Load() != 0 {
		t.Error("a refused request reached a runner")
	}
}

// A request that certainly did not run gives back what it was charged.
func TestChargeOfWhatDidNotRunIsRefunded(t *testing.T) {
	runner := startRunner(t, "r1", rejects)
	daemon := newDaemon(t, runner)
	daemon.tenants(t, func(claims []quota.TenantReport) []quota.Share {
		return []quota.Share{{Tenant: "limited", Tokens: claims[0].Need, Capacity: 1000}}
	})
	if status, body := daemon.sendWith(t, "free", "back", withKey("limited-key")); status != 503 ||
		!strings.Contains(body, scheduler.DidNotRun) {
		t.Fatalf("%d %s", status, body)
	}
	if usage := daemon.Quota.Usage(time.Now())["limited"]; usage.Used != 0 || usage.Balance != 110 {
		t.Errorf("counted %+v", usage)
	}
}
