package daemonlease

import (
	"testing"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

func TestQuotasHandleReport(t *testing.T) {
	t.Parallel()
	report := &wire.QuotaReport{Tenants: []*wire.QuotaTenantReport{{Tenant: "t"}}}
	granted := &wire.QuotaGrant{Milliseconds: uint32(leaseDuration.Milliseconds())}
	for name, test := range map[string]struct {
		report   *wire.QuotaReport
		isLeased bool
		want     *wire.QuotaGrant
	}{
		"without a lease":           {report, false, nil},
		"with a lease":              {report, true, granted},
		"an empty report":           {&wire.QuotaReport{}, true, nil},
		"an empty report, no lease": {&wire.QuotaReport{}, false, nil},
	} {
		quotas := NewQuotas(quota.Tolerance{}, leaseDuration)
		got := quotas.HandleReport(start, &wire.Document{}, "d", test.report, test.isLeased)
		if (got == nil) != (test.want == nil) || got.GetMilliseconds() != test.want.GetMilliseconds() {
			t.Errorf("%s: got grant %v", name, got)
		}
		quotas.Reset()
		quotas.Release(start, "d")
	}
}
