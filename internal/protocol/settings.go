// Package protocol holds the wire types of every interface, the settings
// files, and the checks on both.
package protocol

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/pelletier/go-toml/v2"

	"sagevale/internal/coordination"
	"sagevale/internal/storage"
)

// settingsFile is the platform's settings file.
type settingsFile struct {
	HostName   string `toml:"host_name"`
	Zone       string `toml:"zone"`
	ServeOn    string `toml:"serve_on"`
	PeerListen string `toml:"peer_listen"`
	Seeds      []struct {
		HostName string `toml:"host_name"`
		Zone     string `toml:"zone"`
		Addr     string `toml:"addr"`
	} `toml:"seeds"`
	Endpoints struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Params struct {
		Size         int      `toml:"size"`
		Zones        []string `toml:"zones"`
		ClockErrorMS float64  `toml:"clock_error_ms"`
		Teams        []struct {
			Name    string  `toml:"name"`
			CPUs    float64 `toml:"cpus"`
			CPUsMax float64 `toml:"cpus_max"`
			GPUs    float64 `toml:"gpus"`
			GPUsMax float64 `toml:"gpus_max"`
		} `toml:"teams"`
		Objectives []struct {
			Kind    string  `toml:"kind"`
			Class   string  `toml:"class"`
			WithinS float64 `toml:"within_s"`
			Share   float64 `toml:"share"`
			Times   float64 `toml:"times"`
		} `toml:"objectives"`
		Workers struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			Next     *struct {
				RPS      float64 `toml:"rps"`
				WriteRPS float64 `toml:"write_rps"`
				ValueKB  float64 `toml:"value_kb"`
				TxnOps   int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			CPUShare float64 `toml:"cpu_share"`
			RAMMB    float64 `toml:"ram_mb"`
			Sockets  int     `toml:"sockets"`
		} `toml:"quota"`
	} `toml:"params"`
}

// FieldError names the file and the field that is wrong.
type FieldError struct {
	File, Field, Reason string
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}

// LoadSettings reads and checks the platform's file and, if a path is given,
// the operators' properties.
func LoadSettings(path, propertiesPath string) (*coordination.Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{File: path, Reason: reason(err)}
	}
	s, err := ParseSettings(path, raw)
	if err != nil {
		return nil, err
	}
	s.Tuning = s.DefaultTuning()
	if propertiesPath == "" {
		return s, nil
	}
	raw, err = os.ReadFile(propertiesPath)
	if err != nil {
		return nil, &FieldError{File: propertiesPath, Reason: reason(err)}
	}
	if err := parseProperties(propertiesPath, raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// reason is an error's last part, on one line and without the path.
func reason(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return strings.Join(strings.Fields(err.Error()), " ")
}

// ParseSettings checks the platform's settings.
func ParseSettings(file string, raw []byte) (*coordination.Settings, error) {
	var f settingsFile
	if err := toml.Unmarshal(raw, &f); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			field := strings.Join(de.Key(), ".")
			why := reason(err)
			if strings.Contains(why, "cannot decode") {
				why = "is of the wrong type"
			}
			return nil, &FieldError{file, field, fmt.Sprintf("line %d: %s", row, why)}
		}
		return nil, &FieldError{File: file, Reason: reason(err)}
	}
	c := checker{file: file}
	s := &coordination.Settings{
		Node:       c.text("host_name", f.HostName),
		Zone:       c.text("zone", f.Zone),
		Listen:     c.addr("serve_on", f.ServeOn),
		PeerListen: c.addr("peer_listen", f.PeerListen),
		CloudAddr:  c.addr("endpoints.cloud", f.Endpoints.Cloud),
		StateAddr:  c.addr("endpoints.state", f.Endpoints.State),
		Zones:      f.Params.Zones,
		ClockError: c.duration("params.clock_error_ms", f.Params.ClockErrorMS/1000, 0),
		Report:     c.duration("params.workers.report_s", f.Params.Workers.ReportS, 0.01),
		Lease:      c.duration("params.workers.lease_s", f.Params.Workers.LeaseS, 0.01),
		Cancel:     c.duration("params.workers.cancel_s", f.Params.Workers.CancelS, 0.01),
		GangWait:   c.duration("params.workers.gang_wait_s", f.Params.Workers.GangWaitS, 0),
		GangPeer:   c.duration("params.workers.gang_peer_s", f.Params.Workers.GangPeerS, 0),
		CloudRPS:   c.amount("params.cloud.rps", f.Params.Cloud.RPS, 0.01),
		ListLag:    c.duration("params.cloud.list_lag_s", f.Params.Cloud.ListLagS, 0),
		CPUShare:   c.amount("params.quota.cpu_share", f.Params.Quota.CPUShare, 0.0001),
		MemoryMB:   c.amount("params.quota.ram_mb", f.Params.Quota.RAMMB, minMemoryMB),
		Sockets:    c.count("params.quota.sockets", f.Params.Quota.Sockets, 8),
		State: storage.Limits{
			RequestsPerS: c.amount("params.state.rps", f.Params.State.RPS, 0.1),
			ChangesPerS:  c.amount("params.state.write_rps", f.Params.State.WriteRPS, 0.1),
			ValueBytes:   int(c.amount("params.state.value_kb", f.Params.State.ValueKB, 1) * 1024),
			TxnOps:       c.count("params.state.txn_ops", f.Params.State.TxnOps, 3),
		},
	}
	if next := f.Params.State.Next; next != nil {
		l := &storage.Limits{
			RequestsPerS: c.optional("params.state.next.rps", next.RPS, 0.1), ChangesPerS: c.optional("params.state.next.write_rps", next.WriteRPS, 0.1),
			ValueBytes: int(c.optional("params.state.next.value_kb", next.ValueKB, 1) * 1024),
			TxnOps:     int(c.optional("params.state.next.txn_ops", float64(next.TxnOps), 3)),
		}
		s.State.Next = l
	}
	if c.err == nil && s.Lease <= s.Report {
		c.fail("params.workers.lease_s", "must be longer than report_s")
	}
	for i, p := range f.Seeds {
		field := fmt.Sprintf("seeds[%d].", i)
		s.Peers = append(s.Peers, coordination.Peer{
			Name: c.text(field+"host_name", p.HostName), Zone: p.Zone, Addr: c.addr(field+"addr", p.Addr),
		})
		if p.HostName == f.HostName {
			c.fail(field+"host_name", "is this node's own name")
		}
	}
	seen := make(map[string]bool)
	for i, t := range f.Params.Teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		team := coordination.Team{
			Name:      c.text(field+"name", t.Name),
			Guarantee: storage.Room{CPUs: c.amount(field+"cpus", t.CPUs, 0), GPUs: c.amount(field+"gpus", t.GPUs, 0)},
			Limit:     storage.Room{CPUs: c.amount(field+"cpus_max", t.CPUsMax, 0), GPUs: c.amount(field+"gpus_max", t.GPUsMax, 0)},
		}
		if seen[t.Name] {
			c.fail(field+"name", "names a team twice")
		}
		seen[t.Name] = true
		s.Teams = append(s.Teams, team)
	}
	for i, o := range f.Params.Objectives {
		field := fmt.Sprintf("params.objectives[%d].", i)
		s.Objectives = append(s.Objectives, coordination.Objective{
			Kind: o.Kind, Class: o.Class, Share: c.amount(field+"share", o.Share, 0), Times: o.Times,
			Within: c.duration(field+"within_s", o.WithinS, 0),
		})
	}
	if c.err != nil {
		return nil, c.err
	}
	s.Tuning = s.DefaultTuning()
	return s, nil
}

// headroomProperty was called otherwise first; operators' files may still say so.
const (
	headroomProperty           = "fleet.headroom.deviations"
	deprecatedHeadroomProperty = "fleet.reserve.luck"
)

// minMemoryMB is the least that a node serves in: at rest it holds about half of it.
const minMemoryMB = 16

// parseProperties checks the operators' own settings.
func parseProperties(file string, raw []byte, s *coordination.Settings) error {
	p, err := properties.Load(raw, properties.UTF8)
	if err != nil {
		return &FieldError{File: file, Reason: reason(err)}
	}
	c := checker{file: file}
	t := &s.Tuning
	span := func(d *time.Duration) func(string, string) {
		return func(key, v string) {
			x, err := time.ParseDuration(v)
			if err != nil || x <= 0 {
				c.fail(key, "must be a positive duration such as 10s")
				return
			}
			*d = x
		}
	}
	known := map[string]func(string, string){
		"fleet.up.window":   span(&t.UpWindow),
		"fleet.down.window": span(&t.DownWindow),
		"fleet.cooldown":    span(&t.Cooldown),
		"leader.lease":      span(&t.LeaderLease),
		"fleet.grow.step":   func(k, v string) { t.GrowStep = c.parseCount(k, v, 1, 50) },

		headroomProperty: func(k, v string) { t.HeadroomDeviations = c.parseAmount(k, v, 0, 10) },
	}
	c.upgradeProperties(known, &t.Upgrade)
	known[deprecatedHeadroomProperty] = known[headroomProperty]
	if _, old := p.Get(deprecatedHeadroomProperty); old {
		s.Warnings = append(s.Warnings, fmt.Sprintf("%s: %s: is deprecated, use %s", file, deprecatedHeadroomProperty, headroomProperty))
		if _, both := p.Get(headroomProperty); both {
			c.fail(deprecatedHeadroomProperty, "is the deprecated name of "+headroomProperty+", which is given too")
		}
	}
	for _, key := range p.Keys() {
		set := known[key]
		if set == nil {
			c.fail(key, "unknown property")
			continue
		}
		set(key, strings.TrimSpace(p.GetString(key, "")))
	}
	if c.err == nil && (t.LeaderLease < 100*time.Millisecond || t.LeaderLease > s.Lease) {
		c.fail("leader.lease", "must be from 100ms to the workers' lease_s")
	}
	if policy := &t.Upgrade.Policy; c.err == nil && policy.Target > t.Upgrade.Versions.Max {
		c.fail(targetProperty, fmt.Sprintf("version %d is unknown here: this program has versions %s", policy.Target, t.Upgrade.Versions))
	}
	if c.err == nil && t.DownWindow <= t.UpWindow {
		c.fail("fleet.down.window", "must be longer than fleet.up.window")
	}
	if c.err != nil {
		return c.err
	}
	return nil
}

// checker keeps the first thing found wrong.
type checker struct {
	file string
	err  error
}

// optional is amount for a figure that may be left out.
func (c *checker) optional(field string, v, least float64) float64 {
	if v == 0 {
		return 0
	}
	return c.amount(field, v, least)
}

func (c *checker) fail(field, reason string) {
	if c.err == nil {
		c.err = &FieldError{c.file, field, reason}
	}
}

func (c *checker) text(field, v string) string {
	if v == "" {
		c.fail(field, "is missing or empty")
	}
	return v
}

func (c *checker) addr(field, v string) string {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || perr != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
		c.fail(field, fmt.Sprintf("%q is not an IP address with a port", v))
	}
	return v
}

func (c *checker) amount(field string, v, least float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < least {
		c.fail(field, fmt.Sprintf("is missing or out of range (at least %g)", least))
		return least
	}
	return v
}

func (c *checker) duration(field string, v, least float64) time.Duration {
	const most = 1e9
	if v > most {
		c.fail(field, "is out of range")
		return 0
	}
	return time.Duration(c.amount(field, v, least) * float64(time.Second))
}

func (c *checker) count(field string, v, least int) int {
	if v < least {
		c.fail(field, fmt.Sprintf("is missing or out of range (at least %d)", least))
	}
	return v
}

func (c *checker) parseCount(field, v string, least, most int) int {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		c.fail(field, fmt.Sprintf("must be a whole number from %d to %d", least, most))
	}
	return n
}

func (c *checker) parseAmount(field, v string, least, most float64) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || x < least || x > most {
		c.fail(field, fmt.Sprintf("must be a number from %g to %g", least, most))
	}
	return x
}
