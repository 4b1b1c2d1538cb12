package activation

import (
	"testing"
	"time"
)

// testReport is a controller's report on one model, received at a time in seconds.
type testReport struct {
	atS             int
	node, session   string
	serial, uptimeS int
	usage           ModelUsage // InFlight below 0: the model isn't in the report
}

// message returns the report as a UsageReport about the given model.
func (r testReport) message(model string) UsageReport {
	message := UsageReport{Node: r.node, Session: r.session, Serial: uint64(r.serial), Uptime: time.Duration(r.uptimeS) * time.Second}
	if r.usage.InFlight >= 0 {
		usage := r.usage
		usage.Model = model
		message.Models = []ModelUsage{usage}
	}
	return message
}

// Controllers a and b have had no requests for a long time. The reports of controller c decide whether the
// model is quiet, and whether it is drained.
func TestUsage(t *testing.T) {
	const (
		model              = "m"
		drain              = 4
		responsesExpireAtS = 12
		silentAfter        = 3 * time.Second
	)
	at := func(s int) time.Time { return time.UnixMilli(1e9).Add(time.Duration(s) * time.Second) }
	quiet := ModelUsage{QuietFor: 100 * time.Second, Drained: drain}
	busy := ModelUsage{InFlight: 1, Drained: drain}
	absent := ModelUsage{InFlight: -1}
	others := []testReport{{0, "a", "a1", 1, 900, quiet}, {0, "b", "b1", 1, 900, quiet}}
	for name, c := range map[string]struct {
		reports         []testReport // the reports that follow those of controllers a and b
		atS             int
		wantQuiet       bool
		wantQuietSinceS int
		wantDrained     bool
	}{
		"all are quiet":                                 {[]testReport{{0, "c", "c1", 1, 900, quiet}}, 1, true, -100, true},
		"one was used recently":                         {[]testReport{{0, "c", "c1", 1, 900, ModelUsage{QuietFor: 7 * time.Second, Drained: drain}}}, 1, true, -7, true},
		"one has requests in flight":                    {[]testReport{{0, "c", "c1", 1, 900, busy}}, 1, false, 0, false},
		"one has never reported":                        {nil, 1, false, 0, false},
		"one is silent":                                 {[]testReport{{-3, "c", "c1", 1, 900, quiet}}, 1, false, 0, false},
		"one is silent and the responses to it expired": {[]testReport{{-3, "c", "c1", 1, 900, quiet}, {12, "a", "a1", 2, 900, quiet}, {12, "b", "b1", 2, 900, quiet}}, 12, false, 0, true},
		"one has no entry for the model":                {[]testReport{{0, "c", "c1", 1, 900, absent}}, 1, true, -100, false},
		"one has restarted":                             {[]testReport{{0, "c", "c1", 1, 5, absent}}, 1, true, -5, false},
		"one acknowledged an earlier drain":             {[]testReport{{0, "c", "c1", 1, 900, ModelUsage{QuietFor: 100 * time.Second, Drained: drain - 1}}}, 1, true, -100, false},
		"late copy of an earlier report":                {[]testReport{{0, "c", "c1", 2, 900, busy}, {0, "c", "c1", 1, 900, quiet}}, 1, false, 0, false},
		"copy with the same serial":                     {[]testReport{{0, "c", "c1", 2, 900, busy}, {0, "c", "c1", 2, 900, quiet}}, 1, false, 0, false},
		"late copy from an ended process":               {[]testReport{{0, "c", "c1", 9, 900, quiet}, {0, "c", "c2", 1, 900, busy}, {0, "c", "c1", 10, 900, quiet}}, 1, false, 0, false},
		"report of a new process":                       {[]testReport{{0, "c", "c1", 9, 900, busy}, {0, "c", "c2", 1, 900, quiet}}, 1, true, -100, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := NewUsage([]string{"a", "b", "c"}, silentAfter)
			for _, r := range append(others[:2:2], c.reports...) {
				u.RecordReport(r.message(model), at(r.atS))
			}
			since, known := u.QuietSince(model, at(c.atS))
			if known != c.wantQuiet {
				t.Errorf("quiet: got %v, want %v", known, c.wantQuiet)
			}
			if want := at(c.wantQuietSinceS); known && !since.Equal(want) {
				t.Errorf("quiet since: got %v, want %v", since, want)
			}
			if got := u.Drained(model, drain, at(responsesExpireAtS), at(c.atS)); got != c.wantDrained {
				t.Errorf("drained: got %v, want %v", got, c.wantDrained)
			}
		})
	}
}
