package registry

import (
	"time"

	"wardtray/wire"
)

const (
	// surveyInterval is how often the live runners are surveyed.
	surveyInterval = 250 * time.Millisecond
	// drainingHeartbeats is after how many heartbeats a draining runner that is not heard counts as ended.
	drainingHeartbeats = 20
	// massFactor is how much longer the timeout is where most runners, and at least massMinimum, seem silent at once.
	massFactor  = 3
	massMinimum = 4
)

// survey is what was found of all live runners.
type survey struct {
	// serving is how many runners are live and don't drain; direct is how many of them this core hears itself.
	serving, direct int
	// silent were not heard for their timeout, longSilent not for several times as long; ended have drained for long
	// enough.
	silent, longSilent, ended []string
}

// checkLiveness calls runners silent that no core has heard for long, and draining ones gone.
func (registrar *Registrar) checkLiveness(now time.Time) {
	if now.Sub(registrar.liveness.lastCheck) < surveyInterval {
		return
	}
	registrar.liveness.lastCheck = now
	survey := registrar.survey(now)
	isKnown := func(id string) bool { return registrar.Record(id) != nil }
	registrar.liveness.forget(isKnown)
	registrar.broadcasts.forget(isKnown)
	if now.Before(registrar.liveness.graceUntil) || registrar.isCutOff(now, survey) {
		return
	}
	for _, id := range survey.unresponsive() {
		registrar.markSilent(now, id)
	}
	for _, id := range survey.ended {
		registrar.setState(now, id, Gone)
	}
}

// isCutOff reports whether this core hears neither most cores nor most runners: then it is itself the one that is cut
// off.
func (registrar *Registrar) isCutOff(now time.Time, survey survey) bool {
	return !registrar.environment.HearsMostCores(now) && 2*survey.direct < survey.serving
}

// unresponsive returns the runners to be called silent. Most runners at once are more likely kept from calling by
// something between them and us, and acting on it would stop all service; they are given more time.
func (survey *survey) unresponsive() []string {
	if len(survey.silent) >= massMinimum && 2*len(survey.silent) > survey.serving {
		return survey.longSilent
	}
	return survey.silent
}

// survey surveys every live runner.
func (registrar *Registrar) survey(now time.Time) survey {
	var survey survey
	for _, id := range registrar.ids() {
		record := registrar.Record(id)
		if !live[record.State] {
			registrar.liveness.remove(id)
			continue
		}
		survey.add(now, record, &registrar.liveness)
	}
	return survey
}

// add adds one live runner.
func (survey *survey) add(now time.Time, record *wire.Runner, liveness *liveness) {
	last := liveness.lastHeard(now, record)
	elapsed, timeout := now.Sub(last.heardAt), liveness.silenceTimeout(last)
	if record.State == Draining {
		if elapsed > drainingHeartbeats*liveness.heartbeat {
			survey.ended = append(survey.ended, record.RunnerId)
		}
		return
	}
	survey.serving++
	if last.direct && elapsed <= timeout {
		survey.direct++
	}
	if elapsed > timeout {
		survey.silent = append(survey.silent, record.RunnerId)
	}
	if elapsed > massFactor*timeout {
		survey.longSilent = append(survey.longSilent, record.RunnerId)
	}
}
