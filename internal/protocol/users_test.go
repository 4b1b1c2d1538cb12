package protocol

import (
	"strings"
	"testing"
)

const validSubmission = `{"Id":"job-000412","Bracket":"train","Owner":"vision","Shape":"sweep","Urgency":"high","Chores":16,
"Cpus":8.0,"Gpus":1.0,"MemoryGb":64.0,"Kit":"img-07","ImageGb":6.2,"Breeds":["g8"],"Pasture":null,"SamePlace":true,
"Scatter":false,"Loaner":true,"ExpectedS":240.0,"BookmarkS":30.0,"StowS":4.0,"DueS":900.0,"Novel":{}}`

func TestParseSubmission(t *testing.T) {
	spec, err := ParseSubmission([]byte(validSubmission))
	if err != nil || spec.ID != "000412" || spec.Tasks != 16 || !spec.SameZone || spec.DeadlineS != 900 {
		t.Errorf("submission is read as %+v, %v", spec, err)
	}
}

func TestParseSubmissionErrors(t *testing.T) {
	for _, tc := range []struct{ from, to string }{
		{validSubmission, `[]`}, {validSubmission, `nonsense`}, {validSubmission, ``}, {validSubmission, `{}`}, {validSubmission, validSubmission + "x"},
		{`"job-000412"`, `"task-1"`}, {`"job-000412"`, `"job-../1"`}, {`"job-000412"`, `7`},
		{`"Chores":16`, `"Chores":0`}, {`"Chores":16`, `"Chores":100001`}, {`"Chores":16`, `"Chores":1.5`},
		{`"Cpus":8.0`, `"Cpus":-1`}, {`"Cpus":8.0`, `"Cpus":"8"`}, {`"Cpus":8.0`, `"Cpus":1e999`}, {`"Cpus":8.0`, `"Cpus":null`},
		{`"Shape":"sweep"`, `"Shape":"heap"`}, {`"Urgency":"high"`, `"Urgency":"higher"`},
		{`"Breeds":["g8"]`, `"Breeds":"g8"`}, {`"Loaner":true`, `"Loaner":1`}, {`"Owner":"vision",`, ``}, {`"DueS":900.0`, `"DueS":-1`},
	} {
		raw := strings.Replace(validSubmission, tc.from, tc.to, 1)
		if spec, err := ParseSubmission([]byte(raw)); err == nil {
			t.Errorf("submission with %q is read as %+v, want an error", tc.to, spec)
		}
	}
}
