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

// tenants adds two tenants to the daemon's configuration, one of them with a quota. issue answers each request for
// tokens; nil leaves it unanswered.
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
		ExpiresAt: time.Now().Add(time.Hour),
	}
	var number atomic.Uint64
	daemon.Quota = quota.NewLimiter()
	daemon.RequestQuota = func() {
		now, sequence := time.Now(), number.Add(1)
		claims := daemon.Quota.Report(now, sequence)
		if issue != nil {
			daemon.Quota.ApplyGrant(now, sequence, time.Minute, issue(claims))
		}
	}
}

func withKey(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key, "Wardtray-Tenant": "somebody else"}
}

// headerRecorder records the headers that a runner receives.
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

// A request whose key is revoked between the decision and the write must not be sent.
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
		// The first reads return a configuration with the key, and the reads directly before the write return a configuration
		// without it.
		if reads.Add(1) > 5 {
			return &config.Snapshot{
				SpecEpoch: 3,
				Catalog:   config.NewCatalog(&revoked),
				ExpiresAt: previous().Add(time.Hour),
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

// Tokens that the daemon's share lacks are requested at once, and each request is charged once, whatever the outcome of
// its attempts.
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
	// Requests of these tests have a prompt of 100 tokens and an answer of at most 10.
	if used := daemon.Quota.Usage(time.Now())["limited"].Used; used != 110 || given != 110 {
		t.Errorf("%v used, %v given", used, given)
	}
	if status, _ := daemon.sendWith(t, "free", "free", withKey("free-key")); status != 200 || given != 110 {
		t.Errorf("a tenant without a quota: %d, %v given", status, given)
	}
}

// A request beyond its quota is refused at once, with the statement that it did not run and a retry time.
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

// The charge of a request that certainly did not run is refunded. Otherwise refused requests would use up the quota of
// their tenant.
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
