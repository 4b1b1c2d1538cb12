package loopbacktest

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ProcessUsage is what the operating system tells of a process.
type ProcessUsage struct {
	CPU       time.Duration // used since it began
	MemoryKB  int64         // resident now
	PeakKB    int64         // resident at most
	OpenFiles int
}

// ticksPerSecond is the unit of processor time under /proc, fixed on Linux.
const ticksPerSecond = 100

// errNotRunning says that a controller has no process.
var errNotRunning = errors.New("not running")

// Usage tells what a controller's process uses.
func (c *Controller) Usage() (ProcessUsage, error) {
	if c.process == nil {
		return ProcessUsage{}, errNotRunning
	}
	return usageOf(c.process.Process.Pid)
}

// OwnUsage tells what this process, with all stand-ins, uses.
func OwnUsage() (ProcessUsage, error) { return usageOf(os.Getpid()) }

func usageOf(pid int) (ProcessUsage, error) {
	var u ProcessUsage
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name, in parentheses, may hold anything; utime and stime are the 12th and 13th fields after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
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
	u.MemoryKB, u.PeakKB = statusKB(string(status), "VmRSS:"), statusKB(string(status), "VmHWM:")
	if files, err := os.ReadDir(dir + "fd"); err == nil {
		u.OpenFiles = len(files)
	}
	return u, nil
}

func statusKB(status, field string) int64 {
	_, rest, _ := strings.Cut(status, field)
	parts := strings.Fields(rest)
	if len(parts) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(parts[0], 10, 64)
	return kb
}
