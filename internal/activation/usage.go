package activation

import "time"

// Usage is the leader's view of the controllers' usage of models, based on their latest reports. It is
// not safe for concurrent use.
type Usage struct {
	controllers   []string
	silentAfter   time.Duration // a controller whose latest report is older than this counts as silent
	latest        map[string]*controllerUsage
	endedSessions map[string]bool
}

// controllerUsage is the latest report of a controller.
type controllerUsage struct {
	session    string
	serial     uint64
	receivedAt time.Time
	startedAt  time.Time // the latest possible start time of the process
	models     map[string]ModelUsage
}

// NewUsage returns a Usage of the named controllers without any reports. A controller counts as silent
// if it has sent no report or if its latest report is older than silentAfter.
func NewUsage(controllers []string, silentAfter time.Duration) *Usage {
	return &Usage{
		controllers: controllers, silentAfter: silentAfter,
		latest: make(map[string]*controllerUsage), endedSessions: make(map[string]bool),
	}
}

// RecordReport records a controller's report. It ignores reports that arrive late or again: those that
// aren't newer than the latest report of the same process, and those of a process that has been replaced.
func (u *Usage) RecordReport(report UsageReport, now time.Time) {
	last := u.latest[report.Node]
	switch {
	case u.endedSessions[report.Session]:
		return
	case last != nil && last.session == report.Session && report.Serial <= last.serial:
		return
	case last != nil && last.session != report.Session:
		u.endedSessions[last.session] = true
	}
	next := &controllerUsage{
		session: report.Session, serial: report.Serial, receivedAt: now, startedAt: now.Add(-report.Uptime),
		models: make(map[string]ModelUsage, len(report.Models)),
	}
	for _, usage := range report.Models {
		next.models[usage.Model] = usage
	}
	u.latest[report.Node] = next
}

// freshReport returns the latest report of a controller, or nil if the controller is silent.
func (u *Usage) freshReport(controller string, now time.Time) *controllerUsage {
	latest := u.latest[controller]
	if latest == nil || now.Sub(latest.receivedAt) > u.silentAfter {
		return nil
	}
	return latest
}

// QuietSince returns the time since which no controller has had a request for a model. known is false
// if any controller is silent or has a request for the model in flight.
func (u *Usage) QuietSince(model string, now time.Time) (since time.Time, known bool) {
	for _, controller := range u.controllers {
		latest := u.freshReport(controller, now)
		if latest == nil {
			return time.Time{}, false
		}
		quiet := latest.startedAt // an earlier process of the controller may have had requests until then
		if usage, used := latest.models[model]; used {
			if usage.InFlight > 0 {
				return time.Time{}, false
			}
			if last := latest.receivedAt.Add(-usage.QuietFor); last.After(quiet) {
				quiet = last
			}
		}
		if quiet.After(since) {
			since = quiet
		}
	}
	return since, true
}

// Drained reports whether all controllers have stopped forwarding requests to a model. drain is the number
// of the drain. A controller has stopped if it has acknowledged the drain and has no requests in flight. A
// silent controller has stopped at the time responsesExpireAt, because the leader's responses that allowed
// the controller to forward requests have expired by then.
func (u *Usage) Drained(model string, drain uint64, responsesExpireAt, now time.Time) bool {
	for _, controller := range u.controllers {
		latest := u.freshReport(controller, now)
		if latest == nil {
			if now.Before(responsesExpireAt) {
				return false
			}
			continue
		}
		usage := latest.models[model]
		if usage.Drained != drain || usage.InFlight > 0 {
			return false
		}
	}
	return true
}
