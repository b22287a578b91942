package controller

import (
	"testing"
	"time"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

// Reports are sent only to the head, and none while the response to an earlier one is pending, which a new report would
// invalidate.
func TestQuotaReportsGoToTheHead(t *testing.T) {
	current := newTestLeases()
	limiter := quota.NewLimiter()
	reporter := newQuotaReporter(limiter, current.configuration, current)
	if reporter.report(started, "c1", 1) != nil {
		t.Error("a report was returned for a machine that is not the head")
	}
	if report := reporter.report(started, "c0", 1); report == nil || len(report.Tenants) != 0 {
		t.Errorf("report without any share: %v, want an empty report", report)
	}
	limiter.RecordDemand(started, "tenant", 1)
	report := reporter.report(started, "c0", 2)
	if report == nil || len(report.Tenants) != 1 || report.Tenants[0].Tenant != "tenant" {
		t.Fatalf("report: %v, want one of the tenant with demand", report)
	}
	if reporter.canReport(started) || reporter.report(started, "c0", 3) != nil {
		t.Error("a second report is allowed before the response to the first")
	}
	shares := []*wire.QuotaShare{{Tenant: "tenant", Tokens: 5, Capacity: 5, Rate: 1}}
	response := &wire.DaemonLeaseGrant{Nonce: 2, Quota: &wire.QuotaGrant{Milliseconds: 1000, Shares: shares}}
	reporter.handleGrant(started, response)
	if !limiter.Take(started, "tenant", 5) || !reporter.canReport(started.Add(time.Millisecond)) {
		t.Error("the granted share was not applied, or its response still counts as pending")
	}
}

// A daemon without a limiter reports nothing and ignores shares.
func TestWithoutQuotasNothingIsReported(t *testing.T) {
	current := newTestLeases()
	reporter := newQuotaReporter(nil, current.configuration, current)
	reporter.handleGrant(started, &wire.DaemonLeaseGrant{Quota: &wire.QuotaGrant{}})
	if reporter.canReport(started) || reporter.report(started, "c0", 1) != nil {
		t.Error("a daemon without a limiter may report")
	}
}
