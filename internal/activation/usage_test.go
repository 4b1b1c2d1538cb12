package activation

import (
	"testing"
	"time"
)

// heard is a report at a second, and what the leader makes of the usage at another.
type heard struct {
	atS             int
	node, session   string
	serial, uptimeS int
	usage           ModelUsage // of the model that is asked about; InFlight below 0: it is not in the report
}

// What is known of usage decides when a model may drain, and when it has drained.
func TestUsage(t *testing.T) {
	const drain, routedTillS = 4, 12
	quiet := ModelUsage{QuietFor: 100 * time.Second, Drained: drain}
	busy := ModelUsage{InFlight: 1, Drained: drain}
	absent := ModelUsage{InFlight: -1}
	others := []heard{{0, "a", "a1", 1, 900, quiet}, {0, "b", "b1", 1, 900, quiet}}
	for name, c := range map[string]struct {
		third       []heard
		atS         int
		quiet       bool
		quietSinceS int
		drained     bool
	}{
		"all are quiet":                             {[]heard{{0, "c", "c1", 1, 900, quiet}}, 1, true, -100, true},
		"one was used lately":                       {[]heard{{0, "c", "c1", 1, 900, ModelUsage{QuietFor: 7 * time.Second, Drained: drain}}}, 1, true, -7, true},
		"one has requests under way":                {[]heard{{0, "c", "c1", 1, 900, busy}}, 1, false, 0, false},
		"one has never told":                        {nil, 1, false, 0, false},
		"one is silent":                             {[]heard{{-3, "c", "c1", 1, 900, quiet}}, 1, false, 0, false},
		"one is silent, and its answers have ended": {[]heard{{-3, "c", "c1", 1, 900, quiet}, {12, "a", "a1", 2, 900, quiet}, {12, "b", "b1", 2, 900, quiet}}, 12, false, 0, true},
		"one knows nothing of the model":            {[]heard{{0, "c", "c1", 1, 900, absent}}, 1, true, -100, false},
		"one knows nothing, for it has restarted":   {[]heard{{0, "c", "c1", 1, 5, absent}}, 1, true, -5, false},
		"one speaks of an earlier drain":            {[]heard{{0, "c", "c1", 1, 900, ModelUsage{QuietFor: 100 * time.Second, Drained: drain - 1}}}, 1, true, -100, false},
		"a late copy says that one is quiet":        {[]heard{{0, "c", "c1", 2, 900, busy}, {0, "c", "c1", 1, 900, quiet}}, 1, false, 0, false},
		"a copy says the same again":                {[]heard{{0, "c", "c1", 2, 900, busy}, {0, "c", "c1", 2, 900, quiet}}, 1, false, 0, false},
		"a late copy of a process that has ended":   {[]heard{{0, "c", "c1", 9, 900, quiet}, {0, "c", "c2", 1, 900, busy}, {0, "c", "c1", 10, 900, quiet}}, 1, false, 0, false},
		"a process that has begun anew":             {[]heard{{0, "c", "c1", 9, 900, busy}, {0, "c", "c2", 1, 900, quiet}}, 1, true, -100, true},
	} {
		u := NewUsage([]string{"a", "b", "c"}, 3*time.Second)
		at := func(s int) time.Time { return time.UnixMilli(1e9).Add(time.Duration(s) * time.Second) }
		for _, h := range append(others[:2:2], c.third...) {
			report := UsageReport{Node: h.node, Session: h.session, Serial: uint64(h.serial), Uptime: time.Duration(h.uptimeS) * time.Second}
			if h.usage.Model = "m"; h.usage.InFlight >= 0 {
				report.Models = []ModelUsage{h.usage}
			}
			u.Note(report, at(h.atS))
		}
		since, told := u.QuietSince("m", at(c.atS))
		if told != c.quiet || told && !since.Equal(at(c.quietSinceS)) {
			t.Errorf("%s: quiet since %v, %v", name, since.Sub(at(0)), told)
		}
		if got := u.Drained("m", drain, at(routedTillS), at(c.atS)); got != c.drained {
			t.Errorf("%s: drained %v", name, got)
		}
	}
}

// Users are told what starts of the class took, less what has passed.
func TestStartTimes(t *testing.T) {
	var times StartTimes
	if got := times.Expected("a", 0); got != 0 {
		t.Errorf("%v without any start", got)
	}
	for s := range 100 {
		times.Note("a", time.Duration(s)*time.Second)
	}
	times.Note("a", 1000*time.Hour)
	if got := times.Expected("a", 30*time.Second).Round(time.Second); got != 60*time.Second || times.Expected("a", time.Hour) != 0 || times.Expected("b", 0) != 0 {
		t.Errorf("%v", got)
	}
}
