// Package protocol holds the wire types of every interface, the settings
// files, and the checks on both.
package protocol

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sagevale/internal/config"
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
func LoadSettings(path, propertiesPath string) (*config.Settings, error) {
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
func ParseSettings(file string, raw []byte) (*config.Settings, error) {
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
	s := &config.Settings{
		NodeName:          c.text("host_name", f.HostName),
		Zone:              c.text("zone", f.Zone),
		Listen:            c.addr("serve_on", f.ServeOn),
		PeerListen:        c.addr("peer_listen", f.PeerListen),
		CloudAddr:         c.addr("endpoints.cloud", f.Endpoints.Cloud),
		StateAddr:         c.addr("endpoints.state", f.Endpoints.State),
		Zones:             f.Params.Zones,
		ClockError:        c.duration("params.clock_error_ms", f.Params.ClockErrorMS/1000, 0),
		HeartbeatInterval: c.duration("params.workers.report_s", f.Params.Workers.ReportS, 0.01),
		WorkerLease:       c.duration("params.workers.lease_s", f.Params.Workers.LeaseS, 0.01),
		CancelTimeout:     c.duration("params.workers.cancel_s", f.Params.Workers.CancelS, 0.01),
		GangWait:          c.duration("params.workers.gang_wait_s", f.Params.Workers.GangWaitS, 0),
		GangStopWindow:    c.duration("params.workers.gang_peer_s", f.Params.Workers.GangPeerS, 0),
		CloudRPS:          c.amount("params.cloud.rps", f.Params.Cloud.RPS, 0.01),
		ListLag:           c.duration("params.cloud.list_lag_s", f.Params.Cloud.ListLagS, 0),
		CPUShare:          c.amount("params.quota.cpu_share", f.Params.Quota.CPUShare, 0.0001),
		MemoryMB:          c.amount("params.quota.ram_mb", f.Params.Quota.RAMMB, minMemoryMB),
		Sockets:           c.count("params.quota.sockets", f.Params.Quota.Sockets, 8),
		State: storage.Limits{
			RequestsPerS: c.amount("params.state.rps", f.Params.State.RPS, 0.1),
			ChangesPerS:  c.amount("params.state.write_rps", f.Params.State.WriteRPS, 0.1),
			ValueBytes:   int(c.amount("params.state.value_kb", f.Params.State.ValueKB, 1) * 1024),
			TxnOps:       c.count("params.state.txn_ops", f.Params.State.TxnOps, 3),
			Next:         c.nextLimits(&f),
		},
		Peers:      c.peers(&f),
		Teams:      c.teams(&f),
		Objectives: c.objectives(&f),
	}
	if c.err == nil && s.WorkerLease <= s.HeartbeatInterval {
		c.fail("params.workers.lease_s", "must be longer than report_s")
	}
	if c.err != nil {
		return nil, c.err
	}
	s.Tuning = s.DefaultTuning()
	return s, nil
}

// minMemoryMB is the least that a node serves in: at rest it holds about half of it.
const minMemoryMB = 16

// nextLimits reads what the state service will take from some moment on; nil: not said.
func (c *checker) nextLimits(f *settingsFile) *storage.Limits {
	next := f.Params.State.Next
	if next == nil {
		return nil
	}
	return &storage.Limits{
		RequestsPerS: c.optional("params.state.next.rps", next.RPS, 0.1),
		ChangesPerS:  c.optional("params.state.next.write_rps", next.WriteRPS, 0.1),
		ValueBytes:   int(c.optional("params.state.next.value_kb", next.ValueKB, 1) * 1024),
		TxnOps:       int(c.optional("params.state.next.txn_ops", float64(next.TxnOps), 3)),
	}
}

// peers reads the other controllers.
func (c *checker) peers(f *settingsFile) []config.Peer {
	var peers []config.Peer
	for i, p := range f.Seeds {
		field := fmt.Sprintf("seeds[%d].", i)
		peers = append(peers, config.Peer{
			Name: c.text(field+"host_name", p.HostName), Zone: p.Zone, Addr: c.addr(field+"addr", p.Addr),
		})
		if p.HostName == f.HostName {
			c.fail(field+"host_name", "is this node's own name")
		}
	}
	return peers
}

// teams reads the teams with their guarantees and limits.
func (c *checker) teams(f *settingsFile) []config.Team {
	var teams []config.Team
	seen := make(map[string]bool)
	for i, t := range f.Params.Teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		teams = append(teams, config.Team{
			Name:      c.text(field+"name", t.Name),
			Guarantee: storage.Resources{CPUs: c.amount(field+"cpus", t.CPUs, 0), GPUs: c.amount(field+"gpus", t.GPUs, 0)},
			Limit:     storage.Resources{CPUs: c.amount(field+"cpus_max", t.CPUsMax, 0), GPUs: c.amount(field+"gpus_max", t.GPUsMax, 0)},
		})
		if seen[t.Name] {
			c.fail(field+"name", "names a team twice")
		}
		seen[t.Name] = true
	}
	return teams
}

// objectives reads the aims at start and finish.
func (c *checker) objectives(f *settingsFile) []config.Objective {
	var objectives []config.Objective
	for i, o := range f.Params.Objectives {
		field := fmt.Sprintf("params.objectives[%d].", i)
		objectives = append(objectives, config.Objective{
			Kind: o.Kind, Class: o.Class, Share: c.amount(field+"share", o.Share, 0), Times: o.Times,
			Within: c.duration(field+"within_s", o.WithinS, 0),
		})
	}
	return objectives
}
