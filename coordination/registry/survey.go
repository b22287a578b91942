package registry

import (
	"time"

	"wardtray/wire"
)

const (
	// surveyInterval is the interval between checks of all live runners.
	surveyInterval = 250 * time.Millisecond
	// drainingHeartbeats is the number of heartbeats without a call after which a draining runner is marked gone.
	drainingHeartbeats = 20
	// massSilenceFactor multiplies the silence timeout if more than half of the runners, and at least massSilenceMinimum,
	// seem silent at once.
	massSilenceFactor  = 3
	massSilenceMinimum = 4
)

// survey is the result of a check of all live runners.
type survey struct {
	// serving is the number of live runners that don't drain, direct the number of those whose calls this control node
	// receives itself.
	serving, direct int
	// silent holds runners that have not called within their silence timeout, longSilent those that have not called within
	// a multiple of it, and ended the draining ones that have not called for drainingHeartbeats.
	silent, longSilent, ended []string
}

// checkLiveness marks runners silent whose calls no control node has received within the timeout, and draining ones
// gone.
func (registrar *Registrar) checkLiveness(now time.Time) {
	if now.Sub(registrar.liveness.lastCheck) < surveyInterval {
		return
	}
	registrar.liveness.lastCheck = now
	survey := registrar.survey(now)
	isKnown := func(id string) bool { return registrar.Record(id) != nil }
	registrar.liveness.removeUnknown(isKnown)
	registrar.broadcasts.removeUnknown(isKnown)
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

// isCutOff reports whether this control node receives messages from neither a majority of the control nodes nor half of
// the runners: then it is probably the one that is cut off.
func (registrar *Registrar) isCutOff(now time.Time, survey survey) bool {
	return !registrar.environment.HearsMostControlNodes(now) && 2*survey.direct < survey.serving
}

// unresponsive returns the runners to be marked silent. If most runners seem silent at once, a network fault on the way
// to this control node is more likely than their failure, and marking them would stop all service. They get more time.
func (survey *survey) unresponsive() []string {
	if len(survey.silent) >= massSilenceMinimum && 2*len(survey.silent) > survey.serving {
		return survey.longSilent
	}
	return survey.silent
}

// survey checks every live runner.
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

// add adds one live runner to the survey.
func (survey *survey) add(now time.Time, record *wire.Runner, liveness *liveness) {
	last := liveness.ensureCall(now, record)
	elapsed, timeout := now.Sub(last.learnedAt), liveness.silenceTimeout(last)
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
	if elapsed > massSilenceFactor*timeout {
		survey.longSilent = append(survey.longSilent, record.RunnerId)
	}
}
