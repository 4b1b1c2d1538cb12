package loopbacktest

import (
	"fmt"
	"strings"
	"time"
)

// Team is a team of the settings; limits of 0 mean none.
type Team struct {
	Name     string
	CPULimit float64
}

// Options describe a fleet and what the platform tells its controllers.
type Options struct {
	Controllers int
	Timing      Timing
	Teams       []Team
	// Workers are machines that run from the start; the cloud has MachineLimit in all, 0:
	// as many as are asked for.
	Workers, MachineLimit int
	MachineCPUs           float64
	// RequestsPerS, ChangesPerS, ValueKB and TxnOps are the state service's limits, as they are
	// told to the controllers. The stand-in enforces the latter two.
	RequestsPerS, ChangesPerS, ValueKB float64
	TxnOps                             int
	CloudRPS                           float64
	MemoryMB                           float64
	CPUShare                           float64
	Sockets                            int
	LogLevel                           string
}

// DefaultOptions are those of a small fleet of three controllers without machines at the start.
func DefaultOptions() Options {
	return Options{
		Controllers: 3, Timing: leaseTiming, Teams: []Team{{Name: "team"}}, MachineCPUs: 16,
		RequestsPerS: 2000, ChangesPerS: 500, ValueKB: 8, TxnOps: 32, CloudRPS: 50,
		MemoryMB: 128, CPUShare: 1, Sockets: 500, LogLevel: "info",
	}
}

// leaseTiming is short enough for many steps, and long enough for a busy machine.
var leaseTiming = Timing{
	Report: 400 * time.Millisecond, Change: 100 * time.Millisecond, Lease: 5 * time.Second, Cancel: 12 * time.Second,
	Boot: 300 * time.Millisecond, Fetch: 50 * time.Millisecond,
}

// zones are those of every fleet.
var zones = []string{"a", "b"}

// settings is a controller's settings file.
func (f *Fleet) settings(c *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nserve_on = %q\npeer_listen = %q\n", c.Name, zones[0], c.Users, c.peers)
	for _, o := range f.Controllers {
		if o != c {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\nzone = %q\naddr = %q\n", o.Name, zones[0], o.peers)
		}
	}
	o := &f.options
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n", f.cloudAddr, f.stateAddr)
	fmt.Fprintf(&b, "[params]\nsize = %d\nzones = [%q, %q]\nclock_error_ms = 5.0\n", o.Controllers, zones[0], zones[1])
	for _, t := range o.Teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus_max = %.1f\n", t.Name, t.CPULimit)
	}
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 5.0\ngang_peer_s = 1.0\ncancel_s = %g\n",
		o.Timing.Report.Seconds(), o.Timing.Lease.Seconds(), o.Timing.Cancel.Seconds())
	fmt.Fprintf(&b, "[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", o.RequestsPerS, o.ChangesPerS, o.ValueKB, o.TxnOps)
	fmt.Fprintf(&b, "[params.cloud]\nrps = %g\nlist_lag_s = 0.1\n", o.CloudRPS)
	fmt.Fprintf(&b, "[params.quota]\ncpu_share = %g\nram_mb = %g\nsockets = %d\n", o.CPUShare, o.MemoryMB, o.Sockets)
	return b.String()
}
