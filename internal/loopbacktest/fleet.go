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
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sagevale/internal/storage/storagetest"
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
	Models  string // address for requests to models, if it listens there
	peers   string
	Program Program
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// Fleet is a few controllers, what they speak to, and a client of theirs.
type Fleet struct {
	Controllers []*Controller
	State       *StateService
	Workers     *Workers
	Cloud       *Cloud
	Traffic     *Traffic
	options     Options
	dir         string
	servers     []*http.Server
	client      *http.Client
	stateAddr   string
	cloudAddr   string
	closed      bool
	// nextController spreads users' requests, as a load balancer does.
	nextController atomic.Int64
}

// NewFleet starts the stand-ins of a small fleet; the controllers are started by Start.
func NewFleet(dir string) (*Fleet, error) { return NewFleetOf(dir, DefaultOptions()) }

// NewFleetOf starts the stand-ins of a fleet.
func NewFleetOf(dir string, options Options) (*Fleet, error) {
	traffic := NewTraffic()
	f := &Fleet{options: options, dir: dir, Traffic: traffic, State: NewStateService(traffic), client: newUserClient()}
	f.State.Store.Trouble(func(s *storagetest.Service) {
		s.ValueBytes, s.TxnOps = int(options.ValueKB*1024), options.TxnOps
	})
	var names, addrs []string
	for i := range options.Controllers {
		c := &Controller{Name: fmt.Sprintf("node-%d", i)}
		var err error
		if c.Users, err = freeAddr(); err != nil {
			return nil, err
		}
		if c.peers, err = freeAddr(); err != nil {
			return nil, err
		}
		if c.Models, err = freeAddr(); err != nil {
			return nil, err
		}
		f.Controllers = append(f.Controllers, c)
		names, addrs = append(names, c.Name), append(addrs, c.Users)
	}
	var err error
	if f.Workers, err = NewWorkers(options.Timing, options.Teams, names, addrs, traffic); err != nil {
		return nil, err
	}
	f.Cloud = NewCloud(f.Workers, &options)
	f.Cloud.Provide(options.Workers)
	if f.stateAddr, err = f.serve(f.State.Handler()); err != nil {
		return nil, err
	}
	f.cloudAddr, err = f.serve(f.Cloud.Handler())
	return f, err
}

// userConnections is how many idle connections of users are kept to one controller.
const userConnections = 256

func newUserClient() *http.Client {
	return &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: userConnections}}
}

// The controllers' ports lie below those that the system gives to outgoing connections and to
// listeners without a port, so that none is taken between the choice and the controller's start.
const (
	firstPort = 16_000
	portCount = 16_000
)

// nextPort counts the ports that were chosen; processes begin at different ones.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 101)
	return &n
}()

// freeAddr finds a port on the loopback that nobody listens on.
func freeAddr() (string, error) {
	var err error
	for range portCount {
		var l net.Listener
		port := firstPort + int(nextPort.Add(1)%portCount)
		if l, err = net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", port)); err == nil {
			return fmt.Sprintf("127.0.0.1:%d", port), l.Close()
		}
	}
	return "", err
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
	c.process.Env = append(os.Environ(), "LOG_LEVEL="+f.options.LogLevel)
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
	// RetryAfter is when a user who was refused is told to come again; 0: not said.
	RetryAfter time.Duration `json:"-"`
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
	f.Traffic.Add(userKind(method, path), int64(len(raw)), int64(len(answer)))
	if err != nil {
		return Standing{}, fmt.Errorf("%w: %w", errUndecided, err)
	}
	s := Standing{Status: response.StatusCode}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		s.RetryAfter = time.Duration(seconds) * time.Second
	}
	if s.Status >= http.StatusTooManyRequests {
		return s, fmt.Errorf("%w: %d %s", errUndecided, s.Status, answer)
	}
	return s, json.Unmarshal(answer, &s)
}

// userKind tells what kind of message a user's request is.
func userKind(method, path string) Kind {
	switch {
	case method == http.MethodGet:
		return Polls
	case strings.HasSuffix(path, "/cancel"):
		return Cancels
	}
	return Submissions
}

// Insist puts a request to the controllers in turn until one decides it.
func (f *Fleet) Insist(method, path string, body any, within time.Duration) (Standing, error) {
	var s Standing
	err := errUndecided
	first := int(f.nextController.Add(1))
	for end, i := time.Now().Add(within), first; time.Now().Before(end); i++ {
		if s, err = f.Ask(f.Controllers[i%len(f.Controllers)], method, path, body); !errors.Is(err, errUndecided) {
			return s, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return s, err
}

// SubmitAsUser submits a job as the protocol has users do it: one that is refused returns after a second, or
// when it is told to if that is later. refused hears of each refusal.
func (f *Fleet) SubmitAsUser(j Job, within time.Duration, refused func(Standing)) error {
	f.Workers.Upload(j)
	end := time.Now().Add(within)
	for i := int(f.nextController.Add(1)); ; i++ {
		s, err := f.Ask(f.Controllers[i%len(f.Controllers)], http.MethodPost, "/v1/jobs", j.body())
		switch {
		case err == nil && s.Status != http.StatusCreated && s.Status != http.StatusOK:
			return fmt.Errorf("job %s is answered %d", j.ID, s.Status)
		case err == nil:
			f.Workers.Accepted(j.ID, time.Now())
			return nil
		}
		if !errors.Is(err, errUndecided) || time.Now().After(end) {
			return err
		}
		refused(s)
		time.Sleep(max(time.Second, s.RetryAfter))
	}
}

// body is a job as it is submitted.
func (j Job) body() map[string]any {
	urgency := "normal"
	if j.Urgent {
		urgency = "prod"
	}
	return map[string]any{
		"Id": j.ID, "Bracket": j.Shape, "Owner": j.Team, "Shape": j.Shape, "Urgency": urgency, "Chores": j.Tasks,
		"Cpus": j.CPUs, "Gpus": 0.0, "MemoryGb": 2 * j.CPUs, "Kit": "img", "ImageGb": 0.1, "SamePlace": false, "Scatter": false, "Loaner": false,
		"ExpectedS": j.Run.Seconds(), "BookmarkS": 0.0, "StowS": 0.0,
	}
}

// Submit submits a job until it is accepted.
func (f *Fleet) Submit(j Job, within time.Duration) error {
	if j.Team == "" {
		j.Team = f.options.Teams[0].Name
	}
	if j.CPUs == 0 {
		j.CPUs = 1
	}
	f.Workers.Upload(j)
	s, err := f.Insist(http.MethodPost, "/v1/jobs", j.body(), within)
	if err == nil && s.Status != http.StatusCreated && s.Status != http.StatusOK {
		err = fmt.Errorf("job %s is answered %d", j.ID, s.Status)
	}
	if err == nil {
		f.Workers.Accepted(j.ID, time.Now())
	}
	return err
}

// Cancel cancels a job until that is decided.
func (f *Fleet) Cancel(id string, within time.Duration) (Standing, error) {
	s, err := f.Insist(http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, within)
	if err == nil && s.Standing == "aborted" {
		f.Workers.Cancelled(id, time.Now())
	}
	return s, err
}

// Poll asks for a job's state.
func (f *Fleet) Poll(id string) (Standing, error) {
	return f.Insist(http.MethodGet, "/v1/jobs/"+id, nil, 20*time.Second)
}
