package node

import (
	"time"

	"wardtray/config"
	"wardtray/coordination/quota"
	"wardtray/wire"
)

// shares answers a daemon's report of the shares that it holds; nil where there is nothing to answer. One that was
// granted no lease is given none.
func (node *Node) shares(now time.Time, daemon string, report *wire.QuotaReport, leased bool) *wire.QuotaGrant {
	node.refreshIssuer(now)
	if len(report.Tenants) == 0 {
		node.head.issuer.Release(now, daemon)
		return nil
	}
	if !leased {
		return nil
	}
	claims := make([]quota.TenantReport, 0, len(report.Tenants))
	for _, claim := range report.Tenants {
		claims = append(claims, quota.TenantReport{Tenant: claim.Tenant, Balance: claim.Balance, Capacity: claim.Capacity,
			Rate: claim.Rate, Filled: claim.Filled, Returned: claim.Returned,
			Demand: claim.Demand, Want: claim.Want, Need: claim.Need})
	}
	grant := &wire.QuotaGrant{Milliseconds: uint32(node.head.issuer.Term().Milliseconds())}
	for _, share := range node.head.issuer.Report(now, daemon, claims) {
		grant.Shares = append(grant.Shares, &wire.QuotaShare{Tenant: share.Tenant, Tokens: share.Tokens, Capacity: share.Capacity, Rate: share.Rate})
	}
	return grant
}

// refreshIssuer makes the issuer of this term where there is none yet, and gives it the limits of the committed spec.
func (node *Node) refreshIssuer(now time.Time) {
	document := node.chain.Committed()
	if node.head.issuer == nil {
		var expected []string
		for _, directory := range [][]*wire.Member{document.Directory, document.PreviousDirectory} {
			for _, member := range directory {
				expected = append(expected, member.Address)
			}
		}
		node.head.issuer = quota.NewAllocator(now, node.bounds.QuotaTerm, expected)
		node.head.limitsEpoch = 0
	}
	if node.head.limitsEpoch == document.SpecEpoch || len(document.Spec) == 0 {
		return
	}
	node.head.limitsEpoch = document.SpecEpoch
	spec, err := config.Decode(document.Spec)
	if err != nil {
		return // What is committed was checked; without limits no share is given.
	}
	limits := map[string]quota.Limit{}
	for place := range spec.Tenants {
		if held := spec.Tenants[place].Quota; held.Limits() {
			limits[spec.Tenants[place].Name] = node.settings.Quotas.Limit(held.Rate, held.Burst)
		}
	}
	node.head.issuer.SetLimits(now, limits)
}
