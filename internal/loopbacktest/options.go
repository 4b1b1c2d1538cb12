package loopbacktest

import "time"

// Timing holds intervals and limits of the workers.
type Timing struct {
	Heartbeat time.Duration // between two heartbeats
	Change    time.Duration // least pause before a heartbeat that a change causes
	Lease     time.Duration // of a worker
	Cancel    time.Duration // from a confirmed cancellation until no task of the job may run
	Boot      time.Duration // of a machine
	Fetch     time.Duration // of a task's image
}

// Team is a team of the settings.
type Team struct {
	Name     string
	CPULimit float64 // 0: none
}

// Options describe a fleet and the limits that its controllers are configured with.
type Options struct {
	Controllers  int
	Timing       Timing
	Teams        []Team
	Workers      int // machines that exist from the start
	MachineLimit int // of the cloud; 0: none
	MachineCPUs  float64

	// The limits of the key-value store. The stand-in enforces only ValueKB and TxnOps.
	RequestsPerS, ChangesPerS, ValueKB float64
	TxnOps                             int

	CloudRPS float64 // requests per second to the cloud
	MemoryMB float64 // of a controller
	CPUShare float64 // of a controller, in processors
	Sockets  int     // of a controller
	LogLevel string  // of the controllers
}

// DefaultOptions returns the options of a small fleet: three controllers, and no machines at the start.
func DefaultOptions() Options {
	return Options{
		Controllers: 3, Timing: defaultTiming, Teams: []Team{{Name: "team"}}, MachineCPUs: 16,
		RequestsPerS: 2000, ChangesPerS: 500, ValueKB: 8, TxnOps: 32, CloudRPS: 50,
		MemoryMB: 128, CPUShare: 1, Sockets: 500, LogLevel: "info",
	}
}

// defaultTiming is short enough for tests with many steps, and long enough for a busy machine.
var defaultTiming = Timing{
	Heartbeat: 400 * time.Millisecond, Change: 100 * time.Millisecond, Lease: 5 * time.Second, Cancel: 12 * time.Second,
	Boot: 300 * time.Millisecond, Fetch: 50 * time.Millisecond,
}

// zones are the zones of every fleet.
var zones = []string{"a", "b"}
