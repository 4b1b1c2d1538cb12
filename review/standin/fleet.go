//go:build review

// Package standin holds stand-ins for the state service, the cloud, the workers and the users, as the users' pages describe
// them, and starts controllers as separate processes. All addresses are 127.0.0.1. The cases of the review use it.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings are the figures of a deployment.
type Settings struct {
	Controllers                     int
	Zones                           []string
	ReportS, LeaseS, CancelS        float64
	GangWaitS, GangPeerS            float64
	RPS, WriteRPS, ValueKB          float64
	TxnOps                          int
	CloudRPS, ListLagS              float64
	CPUShare, MemoryMB              float64
	Sockets                         int
	Teams                           []Team
	Properties                      string // operators' properties; empty: none
	LogLevel                        string
	PeerAddr, StateAddr, WorkerAddr func(controller int, addr string) string // put a proxy before an address; nil: none
}

// Team is a team of the settings.
type Team struct {
	Name                        string
	CPUs, CPUsMax, GPUs, GPUMax float64
}

// IDBA returns the settings of the page on the smaller of the two first deployments (Island donor bookings).
func IDBA() Settings {
	return Settings{
		Controllers: 3, Zones: []string{"blue-mountain", "cockpit"},
		ReportS: 2, LeaseS: 12, CancelS: 42, GangWaitS: 35, GangPeerS: 6,
		RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12, CloudRPS: 3, ListLagS: 5,
		CPUShare: 0.24, MemoryMB: 98, Sockets: 800,
		Teams:    []Team{{Name: "lifeline-desk", GPUs: 24, GPUMax: 72}},
		LogLevel: "info",
	}
}

// Fleet is a set of controllers with the stand-ins that they use.
type Fleet struct {
	Settings    Settings
	Controllers []*Controller
	Store       *Store
	Cloud       *Cloud
	Audit       *Audit
	Client      *http.Client

	dir      string
	record   *os.File
	start    time.Time
	mu       sync.Mutex // guards record
	servers  []*http.Server
	stateURL string
	cloudURL string
	jobsMu   sync.Mutex
	jobs     map[string]Job
	gangs    gangs
}

// Controller is one controller and its current process.
type Controller struct {
	Name, Zone, Addr, PeerAddr, ModelsAddr string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
	Stopped                                bool // by SIGSTOP
}

// New starts the stand-ins and chooses the controllers' addresses. Lines of Logf go to the file record.
func New(s Settings, recordPath string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Settings: s, dir: dir, record: record, start: time.Now(), Store: newStore(), jobs: make(map[string]Job), gangs: gangs{byKey: make(map[gangKey]*gang)},
		Client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.Audit = newAudit(f)
	f.Cloud = newCloud(f)
	for i := range s.Controllers {
		c := &Controller{Name: fmt.Sprintf("herder-%d", i), Zone: s.Zones[i%len(s.Zones)]}
		for _, a := range []*string{&c.Addr, &c.PeerAddr, &c.ModelsAddr} {
			if *a, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		f.Controllers = append(f.Controllers, c)
	}
	if f.stateURL, err = f.Serve(f.Store.handler()); err != nil {
		return nil, err
	}
	f.cloudURL, err = f.Serve(f.Cloud.handler())
	return f, err
}

// freeAddr returns a loopback address whose port is free now. It lies below the ports that the system gives to outgoing
// connections, so that none of these takes it before the controller listens there.
func freeAddr() (string, error) {
	var err error
	for range 200 {
		var l net.Listener
		addr := fmt.Sprintf("127.0.0.1:%d", 16_000+rand.IntN(16_000))
		if l, err = net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", err
}

// Serve serves a handler on a free loopback port and returns its address.
func (f *Fleet) Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// Logf writes a line to the record.
func (f *Fleet) Logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds since the start of the record.
func (f *Fleet) Since() float64 { return time.Since(f.start).Seconds() }

func (f *Fleet) settingsFile(i int) string {
	var b strings.Builder
	s, c := &f.Settings, f.Controllers[i]
	via := func(p func(int, string) string, addr string) string {
		if p == nil {
			return addr
		}
		return p(i, addr)
	}
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nserve_on = %q\npeer_listen = %q\n", c.Name, c.Zone, c.Addr, c.PeerAddr)
	for _, p := range f.Controllers {
		if p != c {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\nzone = %q\naddr = %q\n", p.Name, p.Zone, via(s.PeerAddr, p.PeerAddr))
		}
	}
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n", f.cloudURL, via(s.StateAddr, f.stateURL))
	zones, _ := json.Marshal(s.Zones)
	fmt.Fprintf(&b, "[params]\nsize = %d\nzones = %s\nclock_error_ms = 25.0\n", s.Controllers, zones)
	for _, t := range s.Teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUMax)
	}
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %.3f\nlease_s = %.3f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", s.ReportS, s.LeaseS, s.GangWaitS, s.GangPeerS, s.CancelS)
	fmt.Fprintf(&b, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.RPS, s.WriteRPS, s.ValueKB, s.TxnOps)
	fmt.Fprintf(&b, "[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.CloudRPS, s.ListLagS)
	fmt.Fprintf(&b, "[params.quota]\ncpu_share = %.4f\nram_mb = %.1f\nsockets = %d\n", s.CPUShare, s.MemoryMB, s.Sockets)
	return b.String()
}

// Start starts a controller's process: target/sagevale --config FILE, as the deploy file says.
func (f *Fleet) Start(i int) error {
	c := f.Controllers[i]
	path := filepath.Join(f.dir, c.Name+".toml")
	if err := os.WriteFile(path, []byte(f.settingsFile(i)), 0o600); err != nil {
		return err
	}
	var args []string
	if f.Settings.Properties != "" {
		properties := filepath.Join(f.dir, c.Name+".properties")
		text := strings.ReplaceAll(f.Settings.Properties, "{models}", c.ModelsAddr)
		if err := os.WriteFile(properties, []byte(text), 0o600); err != nil {
			return err
		}
		args = append(args, "--properties", properties)
	}
	args = append(args, "--config", path)
	log, err := os.OpenFile(filepath.Join(f.dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sagevale", args...)
	cmd.Env, cmd.Stderr = append(os.Environ(), "LOG_LEVEL="+f.Settings.LogLevel), log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); log.Close(); close(exited) }()
	c.cmd, c.exited, c.Stopped = cmd, exited, false
	f.Logf("controller %s started, process %d", c.Name, cmd.Process.Pid)
	return nil
}

// StartAll starts all controllers.
func (f *Fleet) StartAll() error {
	for i := range f.Controllers {
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// Exited reports whether a controller's process has ended by itself.
func (c *Controller) Exited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// Kill ends a controller's process with SIGKILL.
func (f *Fleet) Kill(i int) {
	c := f.Controllers[i]
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Kill()
	<-c.exited
	c.cmd = nil
	f.Logf("controller %s killed", c.Name)
}

// Signal sends a signal to a controller's process.
func (f *Fleet) Signal(i int, s syscall.Signal) {
	if c := f.Controllers[i]; c.cmd != nil {
		_ = c.cmd.Process.Signal(s)
		f.Logf("controller %s: signal %v", c.Name, s)
	}
}

// Log returns the log of a controller.
func (f *Fleet) Log(i int) string {
	raw, _ := os.ReadFile(filepath.Join(f.dir, f.Controllers[i].Name+".log"))
	return string(raw)
}

// Leader returns the index of the leader that the state service names, or -1.
func (f *Fleet) Leader() int {
	var l struct {
		N string `json:"n"`
	}
	if json.Unmarshal(f.Store.Value("lead"), &l) != nil {
		return -1
	}
	for i, c := range f.Controllers {
		if c.Name == l.N {
			return i
		}
	}
	return -1
}

// AwaitUp waits until all controllers answer GET /up with 200.
func (f *Fleet) AwaitUp(patience time.Duration) error {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		up := 0
		for _, c := range f.Controllers {
			if r, err := f.Client.Get("http://" + c.Addr + "/up"); err == nil {
				r.Body.Close()
				if r.StatusCode == 200 {
					up++
				}
			}
		}
		if up == len(f.Controllers) && f.Leader() >= 0 {
			return nil
		}
	}
	return fmt.Errorf("the controllers aren't up within %v", patience)
}

// Close ends all processes and stand-ins. With keep, the folder with the controllers' logs stays.
func (f *Fleet) Close(keep bool) {
	for i := range f.Controllers {
		f.Kill(i)
	}
	f.Cloud.close()
	for _, s := range f.servers {
		_ = s.Close()
	}
	if keep {
		f.Logf("logs are kept in a temporary folder")
		fmt.Fprintln(os.Stderr, f.dir)
	} else {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.record.Close()
}

// Answer is the answer to a user's request.
type Answer struct {
	Status   int
	Standing string
	Done     int
	Running  int
	Error    string
}

func (a Answer) String() string {
	if a.Status == 0 {
		return "no answer: " + a.Error
	}
	return fmt.Sprintf("%d %s done=%d running=%d %s", a.Status, a.Standing, a.Done, a.Running, a.Error)
}

// Ask sends one request of a user to a controller.
func (f *Fleet) Ask(i int, method, path string, body []byte, patience time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.Controllers[i].Addr+path, strings.NewReader(string(body)))
	if err != nil {
		return Answer{Error: err.Error()}
	}
	resp, err := f.Client.Do(r)
	if err != nil {
		return Answer{Error: err.Error()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Error: err.Error()}
	}
	a := Answer{Status: resp.StatusCode}
	var fields struct {
		Standing string
		Done     int    `json:"done"`
		Running  int    `json:"running"`
		Error    string `json:"error"`
	}
	_ = json.Unmarshal(raw, &fields)
	a.Standing, a.Done, a.Running, a.Error = fields.Standing, fields.Done, fields.Running, fields.Error
	return a
}

// final reports whether a user stops to repeat a request after this answer.
func (a Answer) final() bool {
	return a.Status == 200 || a.Status == 201 || a.Status == 400 || a.Status == 404 || a.Status == 422
}

// AskUntil repeats a user's request at one controller after the other until there is an answer that isn't to be repeated.
func (f *Fleet) AskUntil(method, path string, body []byte, patience time.Duration) Answer {
	var a Answer
	for i, deadline := 0, time.Now().Add(patience); time.Now().Before(deadline); i++ {
		c := i % len(f.Controllers)
		a = f.Ask(c, method, path, body, 5*time.Second)
		f.Logf("user: %s %s at %s -> %v", method, path, f.Controllers[c].Name, a)
		if a.final() {
			return a
		}
		time.Sleep(time.Second)
	}
	return a
}

// Job is a job to submit, with what its tasks do.
type Job struct {
	ID, Class, Team, Shape, Urgency string
	Tasks                           int
	CPUs, GPUs, MemoryGB            float64
	Image                           string
	ImageGB                         float64
	Types                           []string
	Zone                            string
	SameZone, Spread, Spot          bool
	RunS                            float64 // how long a task runs
	BookmarkS, StowS                float64
	Extra                           string // further fields of the submission, as JSON text that begins with a comma
}

// Submission returns the body of the job's submission.
func (j Job) Submission() []byte {
	text := func(v any) string { raw, _ := json.Marshal(v); return string(raw) }
	zone := "null"
	if j.Zone != "" {
		zone = text(j.Zone)
	}
	return []byte(fmt.Sprintf(`{"Id":%q,"Bracket":%q,"Owner":%q,"Shape":%q,"Urgency":%q,"Chores":%d,"Cpus":%s,"Gpus":%s,"MemoryGb":%s,`+
		`"Kit":%q,"ImageGb":%s,"Breeds":%s,"Pasture":%s,"SamePlace":%v,"Scatter":%v,"Loaner":%v,"ExpectedS":%s,"BookmarkS":%s,"StowS":%s,"DueS":null%s}`,
		j.ID, j.Class, j.Team, j.Shape, j.Urgency, j.Tasks, text(j.CPUs), text(j.GPUs), text(j.MemoryGB),
		j.Image, text(j.ImageGB), text(j.Types), zone, j.SameZone, j.Spread, j.Spot, text(j.RunS), text(j.BookmarkS), text(j.StowS), j.Extra))
}

// Submit makes the job known to the workers and submits it, as a user does.
func (f *Fleet) Submit(j Job, patience time.Duration) Answer {
	f.jobsMu.Lock()
	f.jobs[j.ID] = j
	f.jobsMu.Unlock()
	return f.AskUntil("POST", "/v1/jobs", j.Submission(), patience)
}

func (f *Fleet) job(id string) (Job, bool) {
	f.jobsMu.Lock()
	defer f.jobsMu.Unlock()
	j, ok := f.jobs[id]
	return j, ok
}

// Process returns the id of the controller's process, or 0.
func (c *Controller) Process() int {
	if c.cmd == nil {
		return 0
	}
	return c.cmd.Process.Pid
}
