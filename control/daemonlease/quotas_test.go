package daemonlease

import (
	"testing"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

func TestQuotasHandleReport(t *testing.T) {
	t.Parallel()
	quotas := NewQuotas(quota.Tolerance{}, term)
	document := &wire.Document{}
	report := &wire.QuotaReport{Tenants: []*wire.QuotaTenantReport{{Tenant: "t"}}}
	if quotas.HandleReport(start, document, "d", report, false) != nil {
		t.Error("a share without a lease")
	}
	got := quotas.HandleReport(start, document, "d", report, true)
	if got == nil || got.Milliseconds != uint32(term.Milliseconds()) {
		t.Errorf("with a lease: %v", got)
	}
	if quotas.HandleReport(start, document, "d", &wire.QuotaReport{}, true) != nil {
		t.Error("an answer to an empty report")
	}
	quotas.Reset()
	quotas.Release(start, "d")
}
