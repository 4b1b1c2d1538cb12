package protocol

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"sagevale/internal/worker"
)

const goodSettings = `
host_name = "n0"
zone = "a"
serve_on = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
surprise = 3
[[seeds]]
host_name = "n1"
zone = "b"
addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 2
zones = ["a", "b"]
clock_error_ms = 5.0
[[params.teams]]
name = "team"
gpus = 2.0
gpus_max = 8.0
[params.workers]
report_s = 3.0
lease_s = 22.0
cancel_s = 52.0
[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 6.0
list_lag_s = 4.0
[params.quota]
cpu_share = 0.07
ram_mb = 98.0
sockets = 1000
`

func TestSettingsThatAreRightAreTakenAndUnknownFieldsIgnored(t *testing.T) {
	s, err := ParseSettings("s.toml", []byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.WorkerLease != 22*time.Second || s.Teams[0].Limit.GPUs != 8 || s.State.ValueBytes != 8192 {
		t.Fatalf("misread: %+v", s)
	}
}

// Settings of before the change request start as they did; those of after it hold
// the times of gangs and the limits that will be.
func TestTheChangeRequestsSettingsMayBeLeftOut(t *testing.T) {
	s, err := ParseSettings("s.toml", []byte(goodSettings))
	if err != nil || s.State.Next != nil || s.GangWait != 0 || s.GangStopWindow != 0 {
		t.Fatalf("misread: %+v, %v", s, err)
	}
	raw := strings.NewReplacer("cancel_s = 52.0", "cancel_s = 52.0\ngang_wait_s = 45.0\ngang_peer_s = 4.0",
		"[params.cloud]", "[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[params.cloud]").Replace(goodSettings)
	s, err = ParseSettings("s.toml", []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	if n := s.State.Next; n == nil || n.ValueBytes != 2048 || n.TxnOps != 4 || n.ChangesPerS != 0 || s.GangWait != 45*time.Second || s.GangStopWindow != 4*time.Second {
		t.Errorf("misread: %+v", s)
	}
}

func TestWrongSettingsNameFileAndFieldInOneLine(t *testing.T) {
	for _, tc := range []struct{ from, to, field string }{
		{`zone = "a"`, ``, "zone"},
		{`serve_on = "10.0.0.1:8080"`, `serve_on = "nowhere"`, "serve_on"},
		{`lease_s = 22.0`, `lease_s = "long"`, "lease_s"},
		{`lease_s = 22.0`, `lease_s = -1.0`, "params.workers.lease_s"},
		{`lease_s = 22.0`, `lease_s = nan`, "params.workers.lease_s"},
		{`lease_s = 22.0`, `lease_s = 2.0`, "params.workers.lease_s"},
		{`txn_ops = 32`, `txn_ops = 0`, "params.state.txn_ops"},
		{`name = "team"`, ``, "params.teams[0].name"},
		{`rps = 6.0`, ``, "params.cloud.rps"},
		{`cpu_share = 0.07`, ``, "params.quota.cpu_share"},
		{`cpu_share = 0.07`, `cpu_share = 0.0`, "params.quota.cpu_share"},
		{`cpu_share = 0.07`, `cpu_share = -1.0`, "params.quota.cpu_share"},
		{`cpu_share = 0.07`, `cpu_share = nan`, "params.quota.cpu_share"},
		{`cpu_share = 0.07`, `cpu_share = "half"`, "cpu_share"},
		{`ram_mb = 98.0`, ``, "params.quota.ram_mb"},
		{`ram_mb = 98.0`, `ram_mb = 0.0`, "params.quota.ram_mb"},
		{`ram_mb = 98.0`, `ram_mb = -98.0`, "params.quota.ram_mb"},
		{`ram_mb = 98.0`, `ram_mb = inf`, "params.quota.ram_mb"},
		{`ram_mb = 98.0`, `ram_mb = 4.0`, "params.quota.ram_mb: is missing or out of range (at least 16)"},
		{`ram_mb = 98.0`, `ram_mb = true`, "ram_mb"},
		{`addr = "10.0.0.2:8081"`, `addr = "10.0.0.2"`, "seeds[0].addr"},
		{`[params.quota]`, `[params.quota`, ""},
		{`[params.cloud]`, "[params.state.next]\nvalue_kb = -2.0\n[params.cloud]", "params.state.next.value_kb"},
		{`[params.cloud]`, "[params.state.next]\ntxn_ops = 1\n[params.cloud]", "params.state.next.txn_ops"},
		{`[params.cloud]`, "[params.state.next]\nwrite_rps = \"few\"\n[params.cloud]", "write_rps"},
		{`cancel_s = 52.0`, "cancel_s = 52.0\ngang_wait_s = -1.0", "params.workers.gang_wait_s"},
	} {
		raw := strings.Replace(goodSettings, tc.from, tc.to, 1)
		if raw == goodSettings {
			t.Fatalf("%q isn't in the settings", tc.from)
		}
		_, err := ParseSettings("s.toml", []byte(raw))
		if err == nil {
			t.Errorf("%q was taken", tc.to)
			continue
		}
		if msg := err.Error(); !strings.HasPrefix(msg, "s.toml: ") || !strings.Contains(msg, tc.field) || strings.Contains(msg, "\n") {
			t.Errorf("%q: %q doesn't name %q in one line", tc.to, msg, tc.field)
		}
	}
}

func TestPropertiesAreCheckedAndUnknownOnesRefused(t *testing.T) {
	s, err := ParseSettings("s.toml", []byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if err := parseProperties("p", []byte("# ours\nfleet.cooldown = 7s\nfleet.grow.step: 2\n"), s); err != nil {
		t.Fatal(err)
	}
	if s.Tuning.Cooldown != 7*time.Second || s.Tuning.ScaleOutStep != 2 {
		t.Fatalf("not applied: %+v", s.Tuning)
	}
	for _, bad := range []string{"fleet.colour = red", "fleet.cooldown = soon", "fleet.grow.step = 51", "leader.lease = 1h", "fleet.down.window = 1ms"} {
		fresh := *s
		if err := parseProperties("p", []byte(bad), &fresh); err == nil || !strings.Contains(err.Error(), strings.Fields(bad)[0]) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

const goodJob = `{"Id":"job-000412","Bracket":"train","Owner":"vision","Shape":"sweep","Urgency":"high","Chores":16,
"Cpus":8.0,"Gpus":1.0,"MemoryGb":64.0,"Kit":"img-07","ImageGb":6.2,"Breeds":["g8"],"Pasture":null,"SamePlace":true,
"Scatter":false,"Loaner":true,"ExpectedS":240.0,"BookmarkS":30.0,"StowS":4.0,"DueS":900.0,"Novel":{}}`

// The property for headroom was called otherwise first: that name goes on being taken,
// with a warning, but not beside the new one.
func TestADeprecatedPropertyIsTakenWithAWarning(t *testing.T) {
	for _, c := range []struct {
		file     string
		want     float64
		warnings int
		fails    bool
	}{
		{"fleet.headroom.deviations = 2.5\n", 2.5, 0, false},
		{"fleet.reserve.luck = 2.5\n", 2.5, 1, false},
		{"fleet.reserve.luck = 2.5\nfleet.headroom.deviations = 2.5\n", 0, 1, true},
		{"fleet.reserve.luck = much\n", 0, 1, true},
	} {
		s, err := ParseSettings("s.toml", []byte(goodSettings))
		if err != nil {
			t.Fatal(err)
		}
		err = parseProperties("p", []byte(c.file), s)
		if (err != nil) != c.fails || len(s.Warnings) != c.warnings || !c.fails && s.Tuning.HeadroomDeviations != c.want {
			t.Errorf("%q: %v, %v, %v", c.file, s.Tuning.HeadroomDeviations, s.Warnings, err)
		}
		if err != nil && (!strings.HasPrefix(err.Error(), "p: fleet.reserve.luck: ") || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: %v", c.file, err)
		}
	}
}

func TestSubmissionsAreChecked(t *testing.T) {
	spec, err := ParseSubmission([]byte(goodJob))
	if err != nil || spec.ID != "000412" || spec.Tasks != 16 || !spec.SameZone || spec.DeadlineS != 900 {
		t.Fatalf("%+v, %v", spec, err)
	}
	for _, tc := range []struct{ from, to string }{
		{goodJob, `[]`}, {goodJob, `nonsense`}, {goodJob, ``}, {goodJob, `{}`}, {goodJob, goodJob + "x"},
		{`"job-000412"`, `"task-1"`}, {`"job-000412"`, `"job-../1"`}, {`"job-000412"`, `7`},
		{`"Chores":16`, `"Chores":0`}, {`"Chores":16`, `"Chores":100001`}, {`"Chores":16`, `"Chores":1.5`},
		{`"Cpus":8.0`, `"Cpus":-1`}, {`"Cpus":8.0`, `"Cpus":"8"`}, {`"Cpus":8.0`, `"Cpus":1e999`}, {`"Cpus":8.0`, `"Cpus":null`},
		{`"Shape":"sweep"`, `"Shape":"heap"`}, {`"Urgency":"high"`, `"Urgency":"higher"`},
		{`"Breeds":["g8"]`, `"Breeds":"g8"`}, {`"Loaner":true`, `"Loaner":1`}, {`"Owner":"vision",`, ``}, {`"DueS":900.0`, `"DueS":-1`},
	} {
		raw := strings.Replace(goodJob, tc.from, tc.to, 1)
		if _, err := ParseSubmission([]byte(raw)); err == nil {
			t.Errorf("%q was taken", tc.to)
		}
	}
}

// A task that is overlooked in a report would seem to be gone.
func TestAReportThatIsNotUnderstoodInFullIsRefused(t *testing.T) {
	good := `{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":88,
"Baton":41,"WarningS":null,"Chores":[{"Chore":"job-000412/3","Try":2,"Standing":"running"}]}`
	r, err := ParseReport([]byte(good))
	if err != nil || r.Machine != 231 || len(r.Tasks) != 1 || r.Tasks[0].ID.Task != 3 {
		t.Fatalf("%+v, %v", r, err)
	}
	// What isn't known of a task beside its state is no concern of ours.
	for _, progress := range []string{"-3", "99", `"most"`, "null"} {
		raw := strings.Replace(good, `"Try":2`, `"Try":2,"Progress":`+progress, 1)
		if got, err := ParseReport([]byte(raw)); err != nil || !reflect.DeepEqual(got, r) {
			t.Errorf("progress %s changes the report: %+v, %v", progress, got, err)
		}
	}
	for raw, want := range map[string]worker.TaskReport{
		`"Standing":"gathering"`:              {State: worker.Gathering},
		`"Standing":"ended","Cause":"peers"`:  {State: worker.Exited, Cause: worker.CausePeers},
		`"Standing":"ended","Cause":"alone"`:  {State: worker.Exited, Cause: worker.CausePeers},
		`"Standing":"running","Cause":"else"`: {State: worker.Running},
	} {
		got, err := ParseReport([]byte(strings.Replace(good, `"Standing":"running"`, raw, 1)))
		if err != nil || got.Tasks[0].State != want.State || got.Tasks[0].Cause != want.Cause {
			t.Errorf("%s is read as %+v, %v", raw, got, err)
		}
	}
	for _, raw := range []string{`"Standing":"paused"`, `"Standing":"ended","Cause":"bored"`, `"Standing":"ended"`, `"Standing":7`} {
		if got, err := ParseReport([]byte(strings.Replace(good, `"Standing":"running"`, raw, 1))); err == nil {
			t.Errorf("%s is taken as %+v", raw, got)
		}
	}
	for _, bad := range []string{"job-000412/x", "running!", "host-231", "host-99999999999999999999999", "host--00001", `"Ride":0`, `"Tally":-1`} {
		raw := good
		switch bad {
		case "running!":
			raw = strings.Replace(good, "running", bad, 1)
		case "host-231", "host-99999999999999999999999", "host--00001":
			raw = strings.Replace(good, "host-000231", bad, 1)
		case `"Ride":0`:
			raw = strings.Replace(good, `"Ride":1`, bad, 1)
		case `"Tally":-1`:
			raw = strings.Replace(good, `"Tally":88`, bad, 1)
		default:
			raw = strings.Replace(good, "job-000412/3", bad, 1)
		}
		if _, err := ParseReport([]byte(raw)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
