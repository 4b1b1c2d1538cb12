// Package worker holds the types of the messages between controllers and workers: reports with the state
// of a machine's tasks, commands, and responses to heartbeats. The types follow the workers' protocol.
// Package protocol maps them to its JSON, and package wire/coordination to the messages between controllers.
package worker

// TaskID identifies a task of a job. Job is the job's ID without the prefix that job IDs have in external interfaces.
type TaskID struct {
	Job  string
	Task int
}

// TaskState is the state of a task on its machine.
type TaskState int

// The states of a task on its machine.
const (
	Pulling   TaskState = iota // waits for its image
	Gathering                  // waits for the other tasks of its gang, which all start at the same time
	Running
	Saving // received a stop command and saves a checkpoint
	Exited
)

// ExitCause is the reason why a task has exited.
type ExitCause int

// The reasons why a task exits.
const (
	CauseNone        ExitCause = iota
	CauseDone                  // the task completed
	CauseStopped               // stopped by a command
	CauseError                 // the task failed
	CauseFull                  // start rejected: not enough free resources
	CauseBusy                  // start rejected: the worker has the task under another attempt number
	CauseUnknownJob            // start rejected: the worker can't find the job
	CauseGangMissing           // other tasks of its gang are missing
)

// TaskReport is the state of one task in a report.
type TaskReport struct {
	ID      TaskID
	Attempt uint64 // number of the attempt
	State   TaskState
	Cause   ExitCause // set if the task has exited
	Saved   bool      // a stopped task has saved its progress
}

// Report is a worker's report on itself, sent as a heartbeat or as the response to commands. Of two
// reports, the report with the higher incarnation is newer. If the incarnations are equal, the report
// with the higher sequence number is newer.
type Report struct {
	Machine       int
	Addr          string // host and port for commands
	Type          string
	Zone          string
	Spot          bool
	Incarnation   uint64   // starts at 1 and increases each time the worker's lease expires
	Seq           uint64   // sequence number of the report within the incarnation
	Token         uint64   // highest fencing token that the worker has seen
	NoticeSeconds *float64 // seconds until the cloud reclaims the machine; nil: no notice
	Tasks         []TaskReport
}

// Verb is the kind of a command.
type Verb int

// The verbs of the protocol.
const (
	Start  Verb = iota // start an attempt; no effect if the worker already has the attempt
	Stop               // stop an attempt, with a grace period for its checkpoint
	Forget             // remove an exited attempt from the reports
)

// Command is one command to a worker.
type Command struct {
	Verb         Verb
	ID           TaskID
	Attempt      uint64  // number of the attempt
	GraceSeconds float64 // for Stop: time that the task has for a checkpoint, in seconds
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Accepted bool   // the worker's lease is renewed
	Token    uint64 // fencing token of the commands
	Commands []Command
	Leader   string // if not accepted: the controller to send heartbeats to, if known
	Busy     bool   // neither accepted nor redirected: the worker tries the next controller
	// Undecided reports that no leader has responded to the heartbeat with a result. The controller that
	// received the heartbeat may then answer it by delegation, that is, in the leader's place.
	Undecided bool
}

// CommandOutcome is the outcome of commands that were sent directly to a worker, not in a response to a heartbeat.
type CommandOutcome int

// The outcomes of direct commands.
const (
	NotSent    CommandOutcome = iota // certainly not executed: the commands were not sent
	Executed                         // executed; the worker has responded with a report
	Rejected                         // nothing executed: the token is too low, or the worker has begun another incarnation
	Unresolved                       // no response: the commands may have been executed, or may still be executed later
)
