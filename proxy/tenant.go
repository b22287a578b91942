package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/quota"
	"wardtray/metrics"
	"wardtray/proxy/codec"
)

const (
	// quotaWait and quotaPart bound how long a request waits for tokens of its tenant's quota: a time, and a part of its
	// patience, so that a refusal leaves its client the time to come again.
	quotaWait = 150 * time.Millisecond
	quotaPart = 0.2
	// youth is for how long after its start a daemon takes it that it is short of tokens only because it has just begun,
	// so that its requests wait longer, for a part youthPart of their patience.
	youth     = 3 * time.Second
	youthPart = 0.8
)

// identify finds the tenant whose key the request carries. A stream that was relayed in part stays its tenant's.
func (course *Course) identify(book *config.Book, lane *config.Lane) error {
	if course.relayed {
		return nil
	}
	tenant, known := book.TenantOf(course.request.Key, lane)
	if !known {
		return apierror.New(apierror.UnknownKey, "no tenant has the request's key")
	}
	course.tenant = tenant
	return nil
}

func (course *Course) tenantName() string {
	if course.tenant == nil {
		return ""
	}
	return course.tenant.Name
}

func (course *Course) tenantRank() int {
	if course.tenant == nil {
		return 0
	}
	return course.tenant.Rank
}

// cost is what the request counts against its tenant's quota; 0: it is not limited.
func (course *Course) cost() float64 {
	if course.tenant == nil || !course.tenant.Quota.Limits() {
		return 0
	}
	return course.tenant.Quota.Cost(course.request.PromptTokens+course.request.AnswerTokens, course.request.TokensTold)
}

// charge takes the request's cost out of this daemon's share of its tenant's quota, once for all its attempts. Where the
// share is short the head is asked for more at once, and the request waits a moment; it gives the refusal if that is in
// vain, which promises that nothing ran.
func (course *Course) charge() *codec.Refusal {
	cost := course.cost()
	if cost == 0 {
		return nil
	}
	holder, tenant := course.yard.Quota, course.tenant.Name
	holder.Offer(course.now(), tenant, cost)
	if !holder.Take(course.now(), tenant, cost) && !course.awaitShare(tenant, cost) {
		if course.left() {
			return course.refusalOf(errLeft())
		}
		course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.QuotaSpent++ })
		return course.refusal(apierror.QuotaSpent, "tenant "+tenant+" has used up its quota for now", scheduler.DidNotRun,
			holder.Refused(course.now(), tenant, cost))
	}
	course.charged, course.chargedTo = cost, tenant
	return nil
}

// awaitShare asks for more of a quota and waits for it; it tells whether the cost could be taken.
func (course *Course) awaitShare(tenant string, cost float64) bool {
	holder := course.yard.Quota
	done := holder.Need(course.now(), tenant, cost)
	defer done()
	young := course.now().Sub(course.yard.Begun) < youth
	bound := min(quotaWait, time.Duration(quotaPart*float64(course.patience())))
	if young {
		bound = time.Duration(youthPart * float64(course.patience()))
	}
	until := course.now().Add(bound)
	for (young || !holder.Short(course.now(), tenant)) && !course.left() {
		changed := holder.Changed()
		if holder.Take(course.now(), tenant, cost) {
			return true
		}
		course.yard.AskQuota()
		left := until.Sub(course.now())
		if left <= 0 {
			return false
		}
		// An answer may be lost, or have been under way already when the need came up.
		course.yard.World.Wait(course.ctx, min(left, quota.AnswerBound), changed)
	}
	return !course.left() && holder.Take(course.now(), tenant, cost)
}

// uncharge gives back what a request took that has surely not run.
func (course *Course) uncharge() {
	if course.charged > 0 {
		course.yard.Quota.Return(course.now(), course.chargedTo, course.charged)
		course.charged = 0
	}
}
