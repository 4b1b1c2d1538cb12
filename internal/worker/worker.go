// Package worker holds what controllers and workers tell each other: reports with the state of a
// machine's tasks, commands, and the answers to heartbeats. The types follow the protocol's interface to
// workers; package protocol maps them to its JSON, and package wire to the messages between controllers.
package worker

// TaskID names a task of a job. The job is named without its prefix.
type TaskID struct {
	Job  string
	Task int
}

// TaskState is the state of a task on its machine.
type TaskState int

// The states of a task on its machine.
const (
	Pulling   TaskState = iota // waits for its image
	Gathering                  // waits for the other tasks of its gang
	Running
	Saving // was told to stop, and saves a checkpoint
	Exited
)

// ExitCause tells why a task has exited.
type ExitCause int

// The causes of an exit.
const (
	CauseNone    ExitCause = iota
	CauseDone              // completed
	CauseStopped           // stopped by command
	CauseError             // failed
	CauseFull              // start rejected: not enough free resources
	CauseBusy              // start rejected: the task is here under another attempt number
	CauseUnknown           // start rejected: the worker finds no such job
	CausePeers             // other tasks of its gang went missing
)

// TaskReport is the state of one task in a report.
type TaskReport struct {
	ID      TaskID
	Attempt uint64 // number of the attempt
	State   TaskState
	Cause   ExitCause // of an exited task
	Saved   bool      // a stopped task has saved its progress
}

// Report is what a worker reports of itself: with a heartbeat, or as the answer to commands. Of two
// reports the one with the larger incarnation, or in the same one the larger sequence number, is newer.
type Report struct {
	Machine       int
	Addr          string // host and port for commands
	Type          string
	Zone          string
	Spot          bool
	Incarnation   uint64 // incarnation: starts at 1 and grows each time the worker's lease expires
	Seq           uint64
	Token         uint64   // highest fencing token that the worker has seen
	NoticeSeconds *float64 // seconds until the cloud takes the machine; nil: no notice
	Tasks         []TaskReport
}

// Verb is what a command tells a worker to do.
type Verb int

// The verbs of the protocol.
const (
	Start  Verb = iota // start an attempt; without effect if the worker knows it
	Stop               // stop an attempt, with a grace period for its checkpoint
	Forget             // remove an exited attempt from the reports
)

// Command is one command to a worker.
type Command struct {
	Verb         Verb
	ID           TaskID
	Attempt      uint64  // number of the attempt
	GraceSeconds float64 // time for a checkpoint before the stop, in seconds
}

// HeartbeatResponse is the answer to a heartbeat.
type HeartbeatResponse struct {
	Accepted bool // the worker's lease is renewed
	Token    uint64
	Commands []Command
	Leader   string // if not accepted: the controller to report to, if known
	Busy     bool   // neither accepted nor redirected: the worker tries the next controller
	// Undecided tells that no leader has decided on the heartbeat. The controller that the worker
	// reached may answer by delegation.
	Undecided bool
}

// Outcome is what became of commands that were sent straight to a worker.
type Outcome int

// The outcomes.
const (
	NotSent    Outcome = iota // certainly not executed: no connection
	Executed                  // executed; the worker's report follows
	Rejected                  // nothing executed: a lower token, or another incarnation
	Unresolved                // no answer: may have been executed, or may be later
)
