package activation

import "time"

// Usage is what the controllers have told of the models that they have requests for. It belongs to
// its owner's goroutine.
type Usage struct {
	controllers []string
	silentAfter time.Duration // a controller that has told nothing for so long is silent
	latest      map[string]*controllerUsage
	retired     map[string]bool // sessions that have ended
}

// controllerUsage is what a controller has told last.
type controllerUsage struct {
	session string
	serial  uint64
	at      time.Time // when it came
	began   time.Time // its process, at the latest
	models  map[string]ModelUsage
}

// NewUsage makes an empty record of the usage at the controllers named.
func NewUsage(controllers []string, silentAfter time.Duration) *Usage {
	return &Usage{controllers: controllers, silentAfter: silentAfter, latest: make(map[string]*controllerUsage), retired: make(map[string]bool)}
}

// Note takes in a controller's report, unless it is a late copy: older than the last one, or of a
// process that has ended.
func (u *Usage) Note(report UsageReport, now time.Time) {
	last := u.latest[report.Node]
	switch {
	case u.retired[report.Session]:
		return
	case last != nil && last.session == report.Session && report.Serial <= last.serial:
		return
	case last != nil && last.session != report.Session:
		u.retired[last.session] = true
	}
	next := &controllerUsage{
		session: report.Session, serial: report.Serial, at: now, began: now.Add(-report.Uptime),
		models: make(map[string]ModelUsage, len(report.Models)),
	}
	for _, usage := range report.Models {
		next.models[usage.Model] = usage
	}
	u.latest[report.Node] = next
}

// of is what a controller has told of late; nil: it is silent.
func (u *Usage) of(controller string, now time.Time) *controllerUsage {
	latest := u.latest[controller]
	if latest == nil || now.Sub(latest.at) > u.silentAfter {
		return nil
	}
	return latest
}

// QuietSince is since when no controller has had a request for a model. told is false if a controller
// is silent, or has one under way.
func (u *Usage) QuietSince(model string, now time.Time) (since time.Time, told bool) {
	for _, controller := range u.controllers {
		latest := u.of(controller, now)
		if latest == nil {
			return time.Time{}, false
		}
		quiet := latest.began // an earlier process may have had some until then
		if usage, used := latest.models[model]; used {
			if usage.InFlight > 0 {
				return time.Time{}, false
			}
			if last := latest.at.Add(-usage.QuietFor); last.After(quiet) {
				quiet = last
			}
		}
		if quiet.After(since) {
			since = quiet
		}
	}
	return since, true
}

// Drained tells whether no controller passes requests on to a model any more: it has said so of this
// very drain, with nothing in flight; or it is silent, and the answers that it went by have run out by
// routedUntil.
func (u *Usage) Drained(model string, drain uint64, routedTill, now time.Time) bool {
	for _, controller := range u.controllers {
		latest := u.of(controller, now)
		if latest == nil {
			if now.Before(routedTill) {
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
