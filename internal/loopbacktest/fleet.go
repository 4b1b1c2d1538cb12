package loopbacktest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"sagevale/internal/upgrade"
)

// Program is a version of the controller: a binary and the properties it runs with.
type Program struct {
	Name       string
	Binary     string
	Properties string // "": none
	Registers  bool
}

// Controller is one node and its present process.
type Controller struct {
	Name    string
	Users   string // address
	peers   string
	Program Program
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// Fleet is three controllers, what they speak to, and a client of theirs.
type Fleet struct {
	Controllers []*Controller
	State       *StateService
	Workers     *Workers
	timing      Timing
	dir         string
	servers     []*http.Server
	client      *http.Client
	stateAddr   string
	cloudAddr   string
	closed      bool
}

// leaseTiming is short enough for many steps, and long enough for a busy machine.
var leaseTiming = Timing{Report: 400 * time.Millisecond, Lease: 5 * time.Second, Cancel: 12 * time.Second, Boot: 300 * time.Millisecond, Fetch: 50 * time.Millisecond}

// NewFleet starts the stand-ins; the controllers are started by Start.
func NewFleet(dir string) (*Fleet, error) {
	f := &Fleet{timing: leaseTiming, dir: dir, State: NewStateService(), client: &http.Client{Timeout: 3 * time.Second}}
	var names, addrs []string
	for i := range 3 {
		c := &Controller{Name: fmt.Sprintf("node-%d", i)}
		var err error
		if c.Users, err = freeAddr(); err != nil {
			return nil, err
		}
		if c.peers, err = freeAddr(); err != nil {
			return nil, err
		}
		f.Controllers = append(f.Controllers, c)
		names, addrs = append(names, c.Name), append(addrs, c.Users)
	}
	f.Workers = NewWorkers(f.timing, names, addrs)
	var err error
	if f.stateAddr, err = f.serve(f.State.Handler()); err != nil {
		return nil, err
	}
	f.cloudAddr, err = f.serve(NewCloud(f.Workers).Handler())
	return f, err
}

// freeAddr finds a port on the loopback that nobody listens on.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends all processes and stand-ins; a second call does nothing.
func (f *Fleet) Close() {
	if f.closed {
		return
	}
	f.closed = true
	for _, c := range f.Controllers {
		c.Kill()
	}
	f.Workers.Close()
	f.State.Store.Close()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// settings is a controller's settings file.
func (f *Fleet) settings(c *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nzone = \"a\"\nserve_on = %q\npeer_listen = %q\n", c.Name, c.Users, c.peers)
	for _, o := range f.Controllers {
		if o != c {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\nzone = \"a\"\naddr = %q\n", o.Name, o.peers)
		}
	}
	fmt.Fprintf(&b, `[endpoints]
cloud = %q
state = %q
[params]
size = 3
zones = ["a", "b"]
clock_error_ms = 5.0
[[params.teams]]
name = "team"
[params.workers]
report_s = %g
lease_s = %g
gang_wait_s = 5.0
gang_peer_s = 1.0
cancel_s = %g
[params.state]
rps = 2000.0
write_rps = 500.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 50.0
list_lag_s = 0.1
[params.quota]
cpu_share = 1.0
ram_mb = 128.0
sockets = 500
`, f.cloudAddr, f.stateAddr, f.timing.Report.Seconds(), f.timing.Lease.Seconds(), f.timing.Cancel.Seconds())
	return b.String()
}

// Start replaces a controller's process by one of the program.
func (f *Fleet) Start(c *Controller, p Program) error {
	c.Kill()
	c.Program = p
	config := filepath.Join(f.dir, c.Name+".toml")
	if err := os.WriteFile(config, []byte(f.settings(c)), 0o600); err != nil {
		return err
	}
	args := []string{"--config", config}
	if p.Properties != "" {
		properties := filepath.Join(f.dir, c.Name+".properties")
		if err := os.WriteFile(properties, []byte(p.Properties), 0o600); err != nil {
			return err
		}
		args = append(args, "--properties", properties)
	}
	log, err := os.OpenFile(filepath.Join(f.dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.log = log
	c.process = exec.Command(p.Binary, args...)
	c.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	c.process.Stderr = log
	c.exited = make(chan struct{})
	if err := c.process.Start(); err != nil {
		return err
	}
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(c.process, c.exited)
	return nil
}

// Kill ends a controller's process without a signal that it could see.
func (c *Controller) Kill() {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill()
	<-c.exited
	_ = c.log.Close()
	c.process = nil
}

// Ended tells whether a process has ended by itself.
func (c *Controller) Ended() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// Log is all that a node's processes have logged.
func (f *Fleet) Log(c *Controller) string {
	raw, err := os.ReadFile(filepath.Join(f.dir, c.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// Cluster reads the cluster record.
func (f *Fleet) Cluster() (upgrade.Record, error) {
	item, err := f.State.client().Get(context.Background(), "upgrade/cluster")
	if err != nil {
		return upgrade.Initial(), nil //nolint:nilerr // none yet
	}
	return upgrade.DecodeRecord(item.Key, item.Data)
}

// errUndecided says that a node couldn't answer a user for now.
var errUndecided = errors.New("undecided")

// Standing is a job's state as a user sees it.
type Standing struct {
	Status   int
	Standing string
	Running  int `json:"running"`
	Done     int `json:"done"`
}

// Ask puts one request to one controller.
func (f *Fleet) Ask(c *Controller, method, path string, body any) (Standing, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Standing{}, err
	}
	request, err := http.NewRequest(method, "http://"+c.Users+path, bytes.NewReader(raw))
	if err != nil {
		return Standing{}, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return Standing{}, fmt.Errorf("%w: %w", errUndecided, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return Standing{}, fmt.Errorf("%w: %w", errUndecided, err)
	}
	s := Standing{Status: response.StatusCode}
	if s.Status >= http.StatusTooManyRequests {
		return s, fmt.Errorf("%w: %d %s", errUndecided, s.Status, answer)
	}
	return s, json.Unmarshal(answer, &s)
}

// Insist puts a request to the controllers in turn until one decides it.
func (f *Fleet) Insist(method, path string, body any, within time.Duration) (Standing, error) {
	var s Standing
	err := errUndecided
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		if s, err = f.Ask(f.Controllers[i%len(f.Controllers)], method, path, body); !errors.Is(err, errUndecided) {
			return s, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return s, err
}

// Job is a job to be submitted.
type Job struct {
	ID    string
	Shape string // sweep, service or group
	Tasks int
	Run   time.Duration
}

// Submit submits a job until it is accepted.
func (f *Fleet) Submit(j Job, within time.Duration) error {
	f.Workers.Upload(j.ID, job{tasks: j.Tasks, service: j.Shape == "service", gang: j.Shape == "group", run: j.Run})
	body := map[string]any{
		"Id": j.ID, "Bracket": j.Shape, "Owner": "team", "Shape": j.Shape, "Urgency": "normal", "Chores": j.Tasks,
		"Cpus": 1.0, "Gpus": 0.0, "MemoryGb": 2.0, "Kit": "img", "ImageGb": 0.1, "SamePlace": false, "Scatter": false, "Loaner": false,
		"ExpectedS": j.Run.Seconds(), "BookmarkS": 0.0, "StowS": 0.0,
	}
	s, err := f.Insist(http.MethodPost, "/v1/jobs", body, within)
	if err == nil && s.Status != http.StatusCreated && s.Status != http.StatusOK {
		err = fmt.Errorf("job %s is answered %d", j.ID, s.Status)
	}
	return err
}

// Poll asks for a job's state.
func (f *Fleet) Poll(id string) (Standing, error) {
	return f.Insist(http.MethodGet, "/v1/jobs/"+id, nil, 20*time.Second)
}
