package loopbacktest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
)

// Program is a build of the controller, together with the properties file with which the controller is started.
type Program struct {
	Name       string // identifies the program in tests, such as "older"
	Binary     string // path
	Properties string // contents of the properties file; empty: no file
}

// Controller is one controller node and its current process. Calls of its methods, of Fleet.Start and of Fleet.Close must
// not overlap for the same controller.
type Controller struct {
	Name       string
	UsersAddr  string  // address for users and workers
	ModelsAddr string  // address for requests to models; used only if the properties set it as activation.listen
	Program    Program // program that was started last

	peersAddr string
	process   *exec.Cmd     // nil: not started, or killed
	exited    chan struct{} // closed when the process has exited
	log       *os.File
}

// newController chooses free addresses for a controller. It does not start the controller.
func newController(name string) (*Controller, error) {
	c := &Controller{Name: name}
	for _, addr := range []*string{&c.UsersAddr, &c.peersAddr, &c.ModelsAddr} {
		var err error
		if *addr, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// The range of the controllers' ports. The operating system assigns ports above this range to outgoing connections and to
// listeners that request no specific port. If the ranges overlapped, the system could assign a port to another socket
// after freeAddress has chosen the port and before the controller listens on it.
const (
	firstPort = 16_000
	portCount = 16_000
)

// portsTried counts the ports that were tried. It starts at a value that depends on the process ID, so that
// concurrent test processes begin at different ports.
var portsTried = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 101)
	return &n
}()

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress() (string, error) {
	var err error
	for range portCount {
		var l net.Listener
		port := firstPort + int(portsTried.Add(1)%portCount)
		if l, err = net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", port)); err == nil {
			return fmt.Sprintf("127.0.0.1:%d", port), l.Close()
		}
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// Start runs the program as the controller's process. If the controller has a running process, Start kills it first.
func (f *Fleet) Start(c *Controller, p Program) error {
	c.Kill()
	c.Program = p
	args, err := f.writeConfig(c)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(f.logPath(c), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(p.Binary, args...)
	process.Env = append(os.Environ(), "LOG_LEVEL="+f.options.LogLevel)
	process.Stderr = log
	if err := process.Start(); err != nil {
		_ = log.Close() // the error of the start is returned
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = process.Wait() // tests read the exit code from ProcessState
	}()
	c.process, c.exited, c.log = process, exited, log
	return nil
}

// Kill sends SIGKILL to the controller's process, if one runs, and waits for its exit. The process can't catch this signal,
// so it has no chance to shut down gracefully.
func (c *Controller) Kill() {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill() // fails only if the process has exited
	<-c.exited
	_ = c.log.Close()
	c.process = nil
}

// Log returns the log of all processes of the controller, or the text of the error if the log can't be read.
func (f *Fleet) Log(c *Controller) string {
	raw, err := os.ReadFile(f.logPath(c))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func (f *Fleet) logPath(c *Controller) string      { return filepath.Join(f.dir, c.Name+".log") }
func (f *Fleet) settingsPath(c *Controller) string { return filepath.Join(f.dir, c.Name+".toml") }
func (f *Fleet) propertiesPath(c *Controller) string {
	return filepath.Join(f.dir, c.Name+".properties")
}

// writeConfig writes the controller's settings file. If c.Program.Properties isn't empty, it also writes the properties
// file. It returns the command-line arguments with the paths of the written files.
func (f *Fleet) writeConfig(c *Controller) (args []string, err error) {
	if err := os.WriteFile(f.settingsPath(c), []byte(f.settings(c)), 0o600); err != nil {
		return nil, err
	}
	args = []string{"--config", f.settingsPath(c)}
	if c.Program.Properties == "" {
		return args, nil
	}
	if err := os.WriteFile(f.propertiesPath(c), []byte(c.Program.Properties), 0o600); err != nil {
		return nil, err
	}
	return append(args, "--properties", f.propertiesPath(c)), nil
}

// settings returns the contents of the controller's settings file.
func (f *Fleet) settings(c *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nserve_on = %q\npeer_listen = %q\n", c.Name, zones[0], c.UsersAddr, c.peersAddr)
	for _, peer := range f.Controllers {
		if peer != c {
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\nzone = %q\naddr = %q\n", peer.Name, zones[0], peer.peersAddr)
		}
	}
	o := &f.options
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n", f.cloudAddr, f.stateAddr)
	fmt.Fprintf(&b, "[params]\nsize = %d\nzones = [%q, %q]\nclock_error_ms = 5.0\n", o.Controllers, zones[0], zones[1])
	for _, t := range o.Teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus_max = %.1f\n", t.Name, t.CPULimit)
	}
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 5.0\ngang_peer_s = 1.0\ncancel_s = %g\n",
		o.Timing.Heartbeat.Seconds(), o.Timing.Lease.Seconds(), o.Timing.CancelLimit.Seconds())
	fmt.Fprintf(&b, "[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", o.RequestsPerS, o.ChangesPerS, o.ValueKB, o.TxnOps)
	fmt.Fprintf(&b, "[params.cloud]\nrps = %g\nlist_lag_s = 0.1\n", o.CloudRPS)
	fmt.Fprintf(&b, "[params.quota]\ncpu_share = %g\nram_mb = %g\nsockets = %d\n", o.CPUShare, o.MemoryMB, o.Sockets)
	return b.String()
}
