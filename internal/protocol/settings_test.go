package protocol

import (
	"errors"
	"strings"
	"testing"
	"time"

	"sagevale/internal/config"
)

const validSettings = `
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

// parseTestSettings parses validSettings with the lines appended.
func parseTestSettings(t *testing.T, lines ...string) *config.Settings {
	t.Helper()
	s, err := ParseSettings("s.toml", []byte(validSettings+strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkFieldError checks that an error is a *FieldError whose text is one line and begins with prefix.
func checkFieldError(t *testing.T, err error, prefix string) {
	t.Helper()
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || !strings.HasPrefix(err.Error(), prefix) || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that begins with %q", err, prefix)
	}
}

func TestParseSettings(t *testing.T) {
	s := parseTestSettings(t) // validSettings has an unknown field, which is ignored
	if s.WorkerLease != 22*time.Second || s.Teams[0].Limit.GPUs != 8 || s.State.ValueBytes != 8192 {
		t.Errorf("settings are read as %+v", s)
	}
}

// The gang timeouts and the section [params.state.next] are optional, because settings files of earlier versions don't
// have them. The section holds lower limits that the key-value store will enforce at some later time.
func TestParseSettingsOptionalFields(t *testing.T) {
	s := parseTestSettings(t)
	if s.State.Next != nil || s.GangWait != 0 || s.GangStopWindow != 0 {
		t.Errorf("settings without the fields are read as %+v", s)
	}
	raw := strings.NewReplacer("cancel_s = 52.0", "cancel_s = 52.0\ngang_wait_s = 45.0\ngang_peer_s = 4.0",
		"[params.cloud]", "[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[params.cloud]").Replace(validSettings)
	s, err := ParseSettings("s.toml", []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	if n := s.State.Next; n == nil || n.ValueBytes != 2048 || n.TxnOps != 4 || n.ChangesPerS != 0 || s.GangWait != 45*time.Second || s.GangStopWindow != 4*time.Second {
		t.Errorf("settings with the fields are read as %+v", s)
	}
}

func TestParseSettingsErrors(t *testing.T) {
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
		t.Run(tc.to, func(t *testing.T) {
			raw := strings.Replace(validSettings, tc.from, tc.to, 1)
			if raw == validSettings {
				t.Fatalf("%q isn't in the settings", tc.from)
			}
			_, err := ParseSettings("s.toml", []byte(raw))
			checkFieldError(t, err, "s.toml: ")
			if err != nil && !strings.Contains(err.Error(), tc.field) {
				t.Errorf("error %q doesn't name %q", err, tc.field)
			}
		})
	}
}
