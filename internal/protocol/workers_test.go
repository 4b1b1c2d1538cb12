package protocol

import (
	"reflect"
	"strings"
	"testing"

	"sagevale/internal/worker"
)

const validReport = `{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":88,
"Baton":41,"WarningS":null,"Chores":[{"Chore":"job-000412/3","Try":2,"Standing":"running"}]}`

func TestParseReport(t *testing.T) {
	r, err := ParseReport([]byte(validReport))
	if err != nil || r.Machine != 231 || len(r.Tasks) != 1 || r.Tasks[0].ID.Task != 3 {
		t.Errorf("report is read as %+v, %v", r, err)
	}
}

// A task in a report may have fields that the controller doesn't use. Their values may be of any type.
func TestParseReportIgnoresUnknownFields(t *testing.T) {
	want, err := ParseReport([]byte(validReport))
	if err != nil {
		t.Fatal(err)
	}
	for _, progress := range []string{"-3", "99", `"most"`, "null"} {
		raw := strings.Replace(validReport, `"Try":2`, `"Try":2,"Progress":`+progress, 1)
		if got, err := ParseReport([]byte(raw)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("report with progress %s is read as %+v, %v; want %+v", progress, got, err, want)
		}
	}
}

func TestParseReportTaskStates(t *testing.T) {
	for fields, want := range map[string]worker.TaskReport{
		`"Standing":"gathering"`:              {State: worker.Gathering},
		`"Standing":"ended","Cause":"peers"`:  {State: worker.Exited, Cause: worker.CauseGangMissing},
		`"Standing":"ended","Cause":"alone"`:  {State: worker.Exited, Cause: worker.CauseGangMissing},
		`"Standing":"running","Cause":"else"`: {State: worker.Running},
	} {
		got, err := ParseReport([]byte(strings.Replace(validReport, `"Standing":"running"`, fields, 1)))
		if err != nil || got.Tasks[0].State != want.State || got.Tasks[0].Cause != want.Cause {
			t.Errorf("%s is read as %+v, %v; want %+v", fields, got, err, want)
		}
	}
}

// A report with an invalid task must be rejected. If the parser only left out the task, the controller would conclude that
// the task no longer runs.
func TestParseReportErrors(t *testing.T) {
	for _, tc := range []struct{ from, to string }{
		{`"Standing":"running"`, `"Standing":"paused"`},
		{`"Standing":"running"`, `"Standing":"ended","Cause":"bored"`},
		{`"Standing":"running"`, `"Standing":"ended"`},
		{`"Standing":"running"`, `"Standing":7`},
		{"running", "running!"},
		{"job-000412/3", "job-000412/x"},
		{"host-000231", "host-231"},
		{"host-000231", "host-99999999999999999999999"},
		{"host-000231", "host--00001"},
		{`"Ride":1`, `"Ride":0`},
		{`"Tally":88`, `"Tally":-1`},
	} {
		raw := strings.Replace(validReport, tc.from, tc.to, 1)
		if raw == validReport {
			t.Fatalf("%q isn't in the report", tc.from)
		}
		if r, err := ParseReport([]byte(raw)); err == nil {
			t.Errorf("report with %q is read as %+v, want an error", tc.to, r)
		}
	}
}
