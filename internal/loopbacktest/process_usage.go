package loopbacktest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ProcessUsage is the resource usage of a process.
type ProcessUsage struct {
	CPU       time.Duration // user and system time since the start
	MemoryKB  int64         // resident
	PeakKB    int64         // largest resident so far
	OpenFiles int
}

// ticksPerSecond is the unit of processor time under /proc, fixed on Linux.
const ticksPerSecond = 100

// errNotRunning says that a controller has no process.
var errNotRunning = errors.New("not running")

// Usage returns the usage of the controller's process.
func (c *Controller) Usage() (ProcessUsage, error) {
	if c.process == nil {
		return ProcessUsage{}, errNotRunning
	}
	return readProcessUsage(c.process.Process.Pid)
}

// OwnUsage returns the usage of this process, with all stand-ins.
func OwnUsage() (ProcessUsage, error) { return readProcessUsage(os.Getpid()) }

// readProcessUsage reads the usage of a process from /proc. OpenFiles is 0 if they can't be listed.
func readProcessUsage(pid int) (ProcessUsage, error) {
	var u ProcessUsage
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name, in parentheses, may hold anything; utime and stime are the 12th and 13th fields after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return u, fmt.Errorf("%sstat has %d fields", dir, len(fields))
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	u.MemoryKB, u.PeakKB = statusFieldKB(string(status), "VmRSS:"), statusFieldKB(string(status), "VmHWM:")
	if files, err := os.ReadDir(dir + "fd"); err == nil {
		u.OpenFiles = len(files)
	}
	return u, nil
}

// statusFieldKB returns a field of /proc/PID/status in kilobytes; 0 if it is missing.
func statusFieldKB(status, field string) int64 {
	_, rest, _ := strings.Cut(status, field)
	parts := strings.Fields(rest)
	if len(parts) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(parts[0], 10, 64) // the kernel writes a number
	return kb
}
