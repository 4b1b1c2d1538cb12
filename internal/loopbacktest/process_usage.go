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
	CPU       time.Duration // user and system time since the process started
	MemoryKB  int64         // resident memory
	PeakKB    int64         // maximum resident memory so far
	OpenFiles int
}

// ticksPerSecond is the number of clock ticks per second in the processor times under /proc, which is fixed on Linux.
const ticksPerSecond = 100

// errNotRunning means that a controller was not started, or was killed.
var errNotRunning = errors.New("controller is not running")

// Usage returns the usage of the controller's process.
func (c *Controller) Usage() (ProcessUsage, error) {
	if c.process == nil {
		return ProcessUsage{}, errNotRunning
	}
	return readProcessUsage(c.process.Process.Pid)
}

// OwnUsage returns the usage of this process, which includes all stand-ins.
func OwnUsage() (ProcessUsage, error) { return readProcessUsage(os.Getpid()) }

// readProcessUsage reads the usage of a process from /proc. OpenFiles is 0 if the open files can't be listed.
func readProcessUsage(pid int) (ProcessUsage, error) {
	var u ProcessUsage
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The process name, in parentheses, may contain any character; utime and stime are the 12th and 13th fields after it.
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

// statusFieldKB returns a field of /proc/PID/status in kilobytes, or 0 if the field is missing.
func statusFieldKB(status, field string) int64 {
	_, rest, _ := strings.Cut(status, field)
	parts := strings.Fields(rest)
	if len(parts) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(parts[0], 10, 64) // the kernel always writes a number
	return kb
}
