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

// These types define the TOML structure of the platform's settings file. Unknown fields in the file are ignored.
type (
	settingsFile struct {
		HostName   string        `toml:"host_name"`
		Zone       string        `toml:"zone"`
		ServeOn    string        `toml:"serve_on"`
		PeerListen string        `toml:"peer_listen"`
		Seeds      []seedSection `toml:"seeds"`
		Endpoints  struct {
			Cloud string `toml:"cloud"`
			State string `toml:"state"`
		} `toml:"endpoints"`
		Params paramsSection `toml:"params"`
	}
	seedSection struct {
		HostName string `toml:"host_name"`
		Zone     string `toml:"zone"`
		Addr     string `toml:"addr"`
	}
	paramsSection struct {
		Size         int                `toml:"size"` // unused, but a value of another type is an error
		Zones        []string           `toml:"zones"`
		ClockErrorMS float64            `toml:"clock_error_ms"`
		Teams        []teamSection      `toml:"teams"`
		Objectives   []objectiveSection `toml:"objectives"`
		Workers      struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64           `toml:"rps"`
			WriteRPS float64           `toml:"write_rps"`
			ValueKB  float64           `toml:"value_kb"`
			TxnOps   int               `toml:"txn_ops"`
			Next     *nextStateSection `toml:"next"`
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
	}
	teamSection struct {
		Name    string  `toml:"name"`
		CPUs    float64 `toml:"cpus"`
		CPUsMax float64 `toml:"cpus_max"`
		GPUs    float64 `toml:"gpus"`
		GPUsMax float64 `toml:"gpus_max"`
	}
	objectiveSection struct {
		Kind    string  `toml:"kind"`
		Class   string  `toml:"class"`
		WithinS float64 `toml:"within_s"`
		Share   float64 `toml:"share"`
		Times   float64 `toml:"times"`
	}
	nextStateSection struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
	}
)

// Smallest valid values of the settings. RPS means requests or changes per second.
const (
	minIntervalS = 0.01 // in seconds
	minCloudRPS  = 0.01
	minStoreRPS  = 0.1
	minValueKB   = 1
	minTxnOps    = 3
	minCPUShare  = 0.0001
	minMemoryMB  = 16 // an idle controller uses about half of this memory
	minSockets   = 8
)

// Conversion factors between units.
const (
	millisecondsPerSecond = 1000
	bytesPerKB            = 1 << 10
	bytesPerMB            = 1 << 20
)

// LoadSettings reads and checks the settings file. If propertiesPath isn't empty, it also reads and checks the operators'
// properties file. Every error that it returns is a *FieldError.
func LoadSettings(path, propertiesPath string) (*config.Settings, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	s, err := ParseSettings(path, raw)
	if err != nil {
		return nil, err
	}
	if propertiesPath == "" {
		return s, nil
	}
	raw, err = readFile(propertiesPath)
	if err != nil {
		return nil, err
	}
	if err := parseProperties(propertiesPath, raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{File: path, Reason: errorText(err)}
	}
	return raw, nil
}

// errorText returns the text of an error on one line. It omits the path of an os.PathError.
func errorText(err error) string {
	if pathErr, ok := errors.AsType[*os.PathError](err); ok {
		err = pathErr.Err
	}
	return strings.Join(strings.Fields(err.Error()), " ")
}

// ParseSettings checks the contents of a settings file and returns them. The field Tuning, which holds the values of the
// operators' properties, gets its default values. Every error that ParseSettings returns is a *FieldError that names file.
func ParseSettings(file string, raw []byte) (*config.Settings, error) {
	var f settingsFile
	if err := toml.Unmarshal(raw, &f); err != nil {
		return nil, decodeError(file, err)
	}
	v := validator{file: file}
	s := f.settings(&v)
	if v.err == nil && s.WorkerLease <= s.HeartbeatInterval {
		v.fail("params.workers.lease_s", "must be longer than report_s")
	}
	if v.err != nil {
		return nil, v.err
	}
	s.Tuning = s.DefaultTuning()
	return s, nil
}

// decodeError converts an error of the TOML decoder to a FieldError. The FieldError contains the line and the field if the
// decoder's error does.
func decodeError(file string, err error) *FieldError {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return &FieldError{File: file, Reason: errorText(err)}
	}
	line, _ := decodeErr.Position()
	field := strings.Join(decodeErr.Key(), ".")
	text := errorText(err)
	if strings.Contains(text, "cannot decode") {
		text = "is of the wrong type"
	}
	return &FieldError{file, field, fmt.Sprintf("line %d: %s", line, text)}
}

// settings checks the settings and returns them. The field Tuning, for the operators' properties, isn't set yet.
func (f *settingsFile) settings(v *validator) *config.Settings {
	params := &f.Params
	return &config.Settings{
		NodeName:          v.nonEmpty("host_name", f.HostName),
		Zone:              v.nonEmpty("zone", f.Zone),
		Listen:            v.address("serve_on", f.ServeOn),
		PeerListen:        v.address("peer_listen", f.PeerListen),
		CloudAddr:         v.address("endpoints.cloud", f.Endpoints.Cloud),
		StateAddr:         v.address("endpoints.state", f.Endpoints.State),
		Zones:             params.Zones,
		ClockError:        v.secondsAtLeast("params.clock_error_ms", params.ClockErrorMS/millisecondsPerSecond, 0),
		HeartbeatInterval: v.secondsAtLeast("params.workers.report_s", params.Workers.ReportS, minIntervalS),
		WorkerLease:       v.secondsAtLeast("params.workers.lease_s", params.Workers.LeaseS, minIntervalS),
		CancelTimeout:     v.secondsAtLeast("params.workers.cancel_s", params.Workers.CancelS, minIntervalS),
		GangWait:          v.secondsAtLeast("params.workers.gang_wait_s", params.Workers.GangWaitS, 0),
		GangStopWindow:    v.secondsAtLeast("params.workers.gang_peer_s", params.Workers.GangPeerS, 0),
		CloudRPS:          v.numberAtLeast("params.cloud.rps", params.Cloud.RPS, minCloudRPS),
		ListLag:           v.secondsAtLeast("params.cloud.list_lag_s", params.Cloud.ListLagS, 0),
		CPUShare:          v.numberAtLeast("params.quota.cpu_share", params.Quota.CPUShare, minCPUShare),
		MemoryMB:          v.numberAtLeast("params.quota.ram_mb", params.Quota.RAMMB, minMemoryMB),
		Sockets:           v.countAtLeast("params.quota.sockets", params.Quota.Sockets, minSockets),
		State: storage.Limits{
			RequestsPerS: v.numberAtLeast("params.state.rps", params.State.RPS, minStoreRPS),
			ChangesPerS:  v.numberAtLeast("params.state.write_rps", params.State.WriteRPS, minStoreRPS),
			ValueBytes:   int(v.numberAtLeast("params.state.value_kb", params.State.ValueKB, minValueKB) * bytesPerKB),
			TxnOps:       v.countAtLeast("params.state.txn_ops", params.State.TxnOps, minTxnOps),
			Next:         params.State.Next.limits(v),
		},
		Peers:      f.peers(v),
		Teams:      params.teams(v),
		Objectives: params.objectives(v),
	}
}

// limits returns the limits that the key-value store will enforce later, according to the settings. It returns nil if the
// settings have no section params.state.next. A limit that is missing from this section is 0.
func (s *nextStateSection) limits(v *validator) *storage.Limits {
	if s == nil {
		return nil
	}
	return &storage.Limits{
		RequestsPerS: v.optionalAtLeast("params.state.next.rps", s.RPS, minStoreRPS),
		ChangesPerS:  v.optionalAtLeast("params.state.next.write_rps", s.WriteRPS, minStoreRPS),
		ValueBytes:   int(v.optionalAtLeast("params.state.next.value_kb", s.ValueKB, minValueKB) * bytesPerKB),
		TxnOps:       int(v.optionalAtLeast("params.state.next.txn_ops", float64(s.TxnOps), minTxnOps)),
	}
}

// peers checks and returns the other controllers, which the settings file lists as seeds.
func (f *settingsFile) peers(v *validator) []config.Peer {
	var peers []config.Peer
	for i, seed := range f.Seeds {
		field := fmt.Sprintf("seeds[%d].", i)
		peers = append(peers, config.Peer{
			Name: v.nonEmpty(field+"host_name", seed.HostName), Zone: seed.Zone, Addr: v.address(field+"addr", seed.Addr),
		})
		if seed.HostName == f.HostName {
			v.fail(field+"host_name", "is this node's own name")
		}
	}
	return peers
}

// teams returns the teams with their quotas.
func (p *paramsSection) teams(v *validator) []config.Team {
	var teams []config.Team
	names := make(map[string]bool)
	for i, t := range p.Teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		teams = append(teams, config.Team{
			Name:      v.nonEmpty(field+"name", t.Name),
			Guarantee: storage.Resources{CPUs: v.numberAtLeast(field+"cpus", t.CPUs, 0), GPUs: v.numberAtLeast(field+"gpus", t.GPUs, 0)},
			Limit:     storage.Resources{CPUs: v.numberAtLeast(field+"cpus_max", t.CPUsMax, 0), GPUs: v.numberAtLeast(field+"gpus_max", t.GPUsMax, 0)},
		})
		if names[t.Name] {
			v.fail(field+"name", "names a team twice")
		}
		names[t.Name] = true
	}
	return teams
}

// objectives returns the service-level objectives.
func (p *paramsSection) objectives(v *validator) []config.Objective {
	var objectives []config.Objective
	for i, o := range p.Objectives {
		field := fmt.Sprintf("params.objectives[%d].", i)
		objectives = append(objectives, config.Objective{
			Kind: o.Kind, Class: o.Class, Share: v.numberAtLeast(field+"share", o.Share, 0), Times: o.Times,
			Within: v.secondsAtLeast(field+"within_s", o.WithinS, 0),
		})
	}
	return objectives
}
