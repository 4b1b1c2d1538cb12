//go:build review

package standin2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Team is a team in the settings.
type Team struct {
	Name    string
	CPUsMax float64
}

// Options are the settings of a fleet.
type Options struct {
	Root      string // the repository
	Zones     []string
	Teams     []Team
	ReportS   float64
	LeaseS    float64
	CancelS   float64
	RPS       float64
	WriteRPS  float64
	ValueKB   float64
	TxnOps    int
	CPUShare  float64
	MemoryMB  float64
	Sockets   int
	ListLagS  float64
	CloudRPS  float64
	Types     []MachineType
	AtStart   []Machine // machines that are up at the start
	Capacity  int       // machines that the cloud can give in all; 0: any number
	FullZone  string    // a zone in which the cloud has no machine to give
	LogLevel  string
	NodeZones []string
	// Properties are the operators' properties, empty: none.
	Properties string
}

// Node is one controller.
type Node struct {
	Name, Zone  string
	Addr, Peers string
	state       string
	process     *exec.Cmd
	exited      chan struct{}
}

// Fleet is the controllers and their surroundings.
type Fleet struct {
	Options Options
	Log     *Log
	Store   *Store
	Workers *Workers
	Nodes   []*Node
	dir     string
	cloud   string
	client  *http.Client
}

// NewFleet starts the stand-ins, and chooses addresses for the controllers.
func NewFleet(log *Log, o Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Options: o, Log: log, Store: NewStore(log, o.ValueKB, o.TxnOps), dir: dir,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ends
		f.Close()
		os.Exit(2)
	}()
	for i, zone := range o.NodeZones {
		n := &Node{Name: fmt.Sprintf("herder-%d", i), Zone: zone}
		for _, a := range []*string{&n.Addr, &n.Peers} {
			if *a, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		if n.state, err = Serve(f.Store.Handler(n.Name)); err != nil {
			return nil, err
		}
		f.Nodes = append(f.Nodes, n)
	}
	f.Workers = newWorkers(f)
	if f.cloud, err = Serve(f.Workers.cloudHandler()); err != nil {
		return nil, err
	}
	f.Workers.mu.Lock()
	defer f.Workers.mu.Unlock()
	for _, m := range o.AtStart {
		if err := f.Workers.add(m, 0); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Serve serves a handler on a free loopback port.
func Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

var nextPort = 12_000 + os.Getpid()*97%18_000

// freeAddress returns a free port below the range from which the system takes ports by itself.
func freeAddress() (string, error) {
	for range 2000 {
		nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

func (f *Fleet) settings(n *Node) string {
	var b strings.Builder
	o := &f.Options
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nserve_on = %q\npeer_listen = %q\n", n.Name, n.Zone, n.Addr, n.Peers)
	for _, p := range f.Nodes {
		if p != n {
			fmt.Fprintf(&b, "\n[[seeds]]\nhost_name = %q\nzone = %q\naddr = %q\n", p.Name, p.Zone, p.Peers)
		}
	}
	fmt.Fprintf(&b, "\n[endpoints]\ncloud = %q\nstate = %q\n", f.cloud, n.state)
	fmt.Fprintf(&b, "\n[params]\nsize = %d\nzones = [%q, %q]\nclock_error_ms = 5.0\n", len(f.Nodes), o.Zones[0], o.Zones[1])
	for _, t := range o.Teams {
		fmt.Fprintf(&b, "\n[[params.teams]]\nname = %q\ncpus = 0.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.Name, t.CPUsMax)
	}
	fmt.Fprintf(&b, "\n[params.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s = %.2f\n", o.ReportS, o.LeaseS, o.CancelS)
	fmt.Fprintf(&b, "\n[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", o.RPS, o.WriteRPS, o.ValueKB, o.TxnOps)
	fmt.Fprintf(&b, "\n[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", o.CloudRPS, o.ListLagS)
	fmt.Fprintf(&b, "\n[params.quota]\ncpu_share = %.3f\nram_mb = %.1f\nsockets = %d\n", o.CPUShare, o.MemoryMB, o.Sockets)
	return b.String()
}

// Start starts a controller with the run command of the deploy file.
func (f *Fleet) Start(n *Node) error {
	path := filepath.Join(f.dir, n.Name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(n)), 0o600); err != nil {
		return err
	}
	run, err := runCommand(f.Options.Root)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := append(run[1:], path)
	if f.Options.Properties != "" {
		properties := filepath.Join(f.dir, n.Name+".properties")
		if err := os.WriteFile(properties, []byte(f.Options.Properties), 0o600); err != nil {
			return err
		}
		args = append(args, "--properties", properties)
	}
	p := exec.Command(run[0], args...)
	p.Dir = f.Options.Root
	p.Env = append(os.Environ(), "LOG_LEVEL="+f.Options.LogLevel)
	p.Stderr = out
	if err := p.Start(); err != nil {
		return err
	}
	n.process, n.exited = p, make(chan struct{})
	exited := n.exited
	f.Log.Event("controller started", "node", n.Name, "pid", p.Process.Pid)
	go func() {
		err := p.Wait()
		f.Log.Event("controller ended", "node", n.Name, "pid", p.Process.Pid, "how", err)
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// runCommand returns the run command of the deploy file.
func runCommand(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run command")
}

// Kill kills a controller and waits for its end.
func (f *Fleet) Kill(n *Node) {
	if n.process != nil {
		_ = n.process.Process.Kill()
		<-n.exited
		n.process = nil
	}
}

// Running reports whether the controller's process runs.
func (n *Node) Running() bool {
	if n.process == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Close ends all controllers, and appends their logs to the record.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		f.Kill(n)
	}
	for _, n := range f.Nodes {
		raw, _ := os.ReadFile(filepath.Join(f.dir, n.Name+".log"))
		f.Log.Event("log of " + n.Name + ":")
		f.Log.mu.Lock()
		_, _ = f.Log.file.Write(tail(raw, 60_000))
		f.Log.mu.Unlock()
	}
	_ = os.RemoveAll(f.dir)
}

func tail(raw []byte, n int) []byte {
	if len(raw) <= n {
		return raw
	}
	return append(append(raw[:n/2:n/2], []byte("\n...\n")...), raw[len(raw)-n/2:]...)
}

// Answer is a controller's answer to a user. Status 0: no answer.
type Answer struct {
	Status   int
	Body     string
	ID       string `json:"Id"`
	Standing string
	Done     int `json:"done"`
	Running  int `json:"running"`
}

// Ask sends one request of a user to a node.
func (f *Fleet) Ask(n *Node, method, path string, body any, timeout time.Duration) Answer {
	var in io.Reader
	var sent []byte
	switch b := body.(type) {
	case nil:
	case string:
		sent = []byte(b)
	default:
		sent, _ = json.Marshal(b)
	}
	if sent != nil {
		in = bytes.NewReader(sent)
	}
	req, err := http.NewRequest(method, "http://"+n.Addr+path, in)
	if err != nil {
		return Answer{Body: err.Error()}
	}
	c := *f.client
	c.Timeout = timeout
	var a Answer
	resp, err := c.Do(req)
	if err != nil {
		a.Body = err.Error()
	} else {
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		_ = json.Unmarshal(raw, &a)
		a.Status, a.Body = resp.StatusCode, string(raw)
	}
	f.Log.Event("user", "node", n.Name, "request", method+" "+path, "sent", string(sent), "status", a.Status, "answer", a.Body)
	return a
}

// Job is the description of a job, as users submit it and as workers fetch it.
type Job struct {
	ID          string   `json:"Id"`
	Bracket     string   `json:"Bracket"`
	Owner       string   `json:"Owner"`
	Shape       string   `json:"Shape"`
	Urgency     string   `json:"Urgency"`
	Chores      int      `json:"Chores"`
	Cpus        float64  `json:"Cpus"`
	Gpus        float64  `json:"Gpus"`
	MemoryGb    float64  `json:"MemoryGb"`
	Kit         string   `json:"Kit"`
	ImageGb     float64  `json:"ImageGb"`
	Breeds      []string `json:"Breeds"`
	Pasture     *string  `json:"Pasture"`
	SamePlace   bool     `json:"SamePlace"`
	Scatter     bool     `json:"Scatter"`
	Loaner      bool     `json:"Loaner"`
	ExpectedS   float64  `json:"ExpectedS"`
	BookmarkS   float64  `json:"BookmarkS"`
	StowS       float64  `json:"StowS"`
	DueS        *float64 `json:"DueS"`
	RunS        float64  `json:"-"` // how long a task really runs
	SubmitExtra string   `json:"-"` // further fields of the submission's JSON, after a comma
}

// Submit sends a submission until it is accepted or refused for good, or until the time has passed. It asks the nodes in turn.
func (f *Fleet) Submit(j Job, within time.Duration) Answer {
	f.Workers.AddJob(j)
	raw, _ := json.Marshal(j)
	body := string(raw)
	if j.SubmitExtra != "" {
		body = strings.TrimSuffix(body, "}") + "," + j.SubmitExtra + "}"
	}
	deadline := time.Now().Add(within)
	for i := 0; ; i++ {
		n := f.Nodes[i%len(f.Nodes)]
		if !n.Running() { // the load balancer skips it
			n = f.Nodes[(i+1)%len(f.Nodes)]
		}
		a := f.Ask(n, http.MethodPost, "/v1/jobs", body, 5*time.Second)
		switch a.Status {
		case 200, 201, 400, 422:
			return a
		}
		if time.Now().After(deadline) {
			return a
		}
		time.Sleep(time.Second)
	}
}

// Pause stops a controller, as a machine that stands still does, until Continue.
func (n *Node) Pause() { _ = n.process.Process.Signal(syscall.SIGSTOP) }

// Continue ends Pause.
func (n *Node) Continue() { _ = n.process.Process.Signal(syscall.SIGCONT) }
