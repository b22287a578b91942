package controller

import (
	"testing"
	"time"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

// Reports go to the head alone, and none while the response to an earlier one is expected.
func TestQuotaReportsGoToTheHead(t *testing.T) {
	current := newTestLeases()
	limiter := quota.NewLimiter()
	reporter := newQuotaReporter(limiter, current.configuration, current)
	if reporter.report(started, "c1", 1) != nil {
		t.Error("a report to another machine than the head")
	}
	if report := reporter.report(started, "c0", 1); report == nil || len(report.Tenants) != 0 {
		t.Errorf("%v is reported without any share", report)
	}
	limiter.RecordDemand(started, "tenant", 1)
	report := reporter.report(started, "c0", 2)
	if report == nil || len(report.Tenants) != 1 || report.Tenants[0].Tenant != "tenant" {
		t.Fatalf("%v is reported", report)
	}
	if reporter.canReport(started) || reporter.report(started, "c0", 3) != nil {
		t.Error("a second report before the response")
	}
	shares := []*wire.QuotaShare{{Tenant: "tenant", Tokens: 5, Capacity: 5, Rate: 1}}
	response := &wire.DaemonLeaseGrant{Nonce: 2, Quota: &wire.QuotaGrant{Milliseconds: 1000, Shares: shares}}
	reporter.handleGrant(started, response)
	if !limiter.Take(started, "tenant", 5) || !reporter.canReport(started.Add(time.Millisecond)) {
		t.Error("the granted share was not received")
	}
}

// A daemon without quotas reports nothing and ignores shares.
func TestWithoutQuotasNothingIsReported(t *testing.T) {
	current := newTestLeases()
	reporter := newQuotaReporter(nil, current.configuration, current)
	reporter.handleGrant(started, &wire.DaemonLeaseGrant{Quota: &wire.QuotaGrant{}})
	if reporter.canReport(started) || reporter.report(started, "c0", 1) != nil {
		t.Error("reported")
	}
}
