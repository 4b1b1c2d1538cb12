package loopbacktest

import "time"

// Timing holds intervals, limits and simulated durations of the workers.
type Timing struct {
	Heartbeat            time.Duration // interval between two heartbeats
	MinHeartbeatInterval time.Duration // interval between two heartbeats if the second one is sent early to report a change
	Lease                time.Duration // duration of a worker's lease
	CancelLimit          time.Duration // how long a job's tasks may still run after the job's cancellation was confirmed
	Boot                 time.Duration // boot time of a machine
	ImageFetch           time.Duration // time to fetch a task's image
}

// Team is a team in the controllers' settings.
type Team struct {
	Name     string
	CPULimit float64 // maximum processors in use; 0: no limit
}

// Options describes a fleet and the limits in its controllers' settings.
type Options struct {
	Controllers  int
	Timing       Timing
	Teams        []Team
	Workers      int     // machines that exist from the start
	MachineLimit int     // maximum number of machines in the cloud; 0: no limit
	MachineCPUs  float64 // processors per machine

	// The limits of the key-value store. Of these limits, the fleet's stand-in for the key-value store enforces only
	// ValueKB and TxnOps.
	RequestsPerS, ChangesPerS, ValueKB float64
	TxnOps                             int

	CloudRPS float64 // maximum requests per second to the cloud
	MemoryMB float64 // memory limit of a controller
	CPUShare float64 // processor limit of a controller, in processors
	Sockets  int     // maximum number of open sockets of a controller
	LogLevel string  // log level of the controllers
}

// DefaultOptions returns the options of a small fleet: three controllers, and no machines at the start.
func DefaultOptions() Options {
	return Options{
		Controllers: 3, Timing: defaultTiming, Teams: []Team{{Name: "team"}}, MachineCPUs: 16,
		RequestsPerS: 2000, ChangesPerS: 500, ValueKB: 8, TxnOps: 32, CloudRPS: 50,
		MemoryMB: 128, CPUShare: 1, Sockets: 500, LogLevel: "info",
	}
}

// defaultTiming is short enough for tests with many steps, and long enough for tests on a busy machine.
var defaultTiming = Timing{
	Heartbeat: 400 * time.Millisecond, MinHeartbeatInterval: 100 * time.Millisecond, Lease: 5 * time.Second, CancelLimit: 12 * time.Second,
	Boot: 300 * time.Millisecond, ImageFetch: 50 * time.Millisecond,
}

// zones are the zones of every fleet.
var zones = []string{"a", "b"}
