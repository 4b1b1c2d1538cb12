package coordination

import (
	"context"
	"errors"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/storage"
)

// TaskID names a task of a job; the job is named without its prefix.
type TaskID struct {
	Job  string
	Task int
}

// TaskState is what a worker reports of a task.
type TaskState int

// The states of a task on its machine.
const (
	Pulling   TaskState = iota
	Gathering           // waiting for the other tasks of its gang
	Running
	Saving
	Ended
)

// EndCause tells why a task has ended.
type EndCause int

// The causes of a task's end.
const (
	CauseNone EndCause = iota
	CauseDone
	CauseStopped
	CauseError
	CauseFull
	CauseBusy
	CauseUnknown
	CausePeers // the others of its gang went missing
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	ID    TaskID
	Try   uint64
	State TaskState
	Cause EndCause
	Saved bool
}

// Report is a worker's report.
type Report struct {
	Machine int
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session uint64
	Seq     uint64
	Token   uint64
	Notice  *float64 // seconds until the cloud takes the machine
	Tasks   []TaskReport
}

// Verb is what an order tells a worker to do.
type Verb int

// The orders of the protocol.
const (
	Start Verb = iota
	Stop
	Forget
)

// Order is one command to a worker.
type Order struct {
	Verb   Verb
	ID     TaskID
	Try    uint64
	GraceS float64
}

// HeartbeatResponse is the answer to a worker's report.
type HeartbeatResponse struct {
	Accepted bool
	Token    uint64
	Orders   []Order
	Leader   string // where Accepted is false: the node to report to, if known
	Busy     bool   // neither accepted nor sent elsewhere: try the next node
	// Undecided tells that no leader has decided on the report; the node that
	// the worker reached may answer alone.
	Undecided bool
}

// Code classifies the answer to a user.
type Code int

// The answers to users.
const (
	CodeCreated     Code = iota // accepted just now
	CodeOK                      // known, with its state
	CodeNotFound                // never accepted
	CodeInfeasible              // can never run
	CodeUnavailable             // can't decide now
	CodeBusy                    // too much asked
)

// JobState is the state that a user sees.
type JobState int

// The states of a job.
const (
	StatePending JobState = iota
	StateRunning
	StateDone
	StateCancelled
)

// Answer is the answer to a user.
type Answer struct {
	Code    Code
	ID      string
	State   JobState
	Done    int
	Running int
	Reason  string
	RetryS  int
	Peer    PeerState // the answer to OpPing
	// Holds is for how long after the leader was asked an answer that isn't final
	// may be told: until its lead may have ended, for a successor may have told
	// the user something newer. 0: not said.
	Holds time.Duration
}

// final tells whether nothing newer can ever be told.
func (a *Answer) final() bool {
	return a.Code == CodeOK && (a.State == StateDone || a.State == StateCancelled)
}

// decided tells whether the answer says anything of the job.
func (a *Answer) decided() bool { return a.Code != CodeUnavailable && a.Code != CodeBusy }

// PeerStatus is what a node tells another of itself.
type PeerStatus struct {
	Uptime                time.Duration // since its process began
	SinceState            time.Duration // since its leadership last heard the state service
	Leader                string        // who leads, as it knows first-hand; "": nobody it knows of
	Term                  uint64
	SinceHeartbeat        time.Duration // since a worker last reported to it; Up if none has
	SinceDelegatedRenewal time.Duration // since it last renewed a lease alone; Up if it never has
	DelegatesFor          time.Duration // if it leads: how long the asker may renew leases alone
	DelegationTerm        uint64        // under that token
	Excluded              []int         // but not these machines'
	Version               int           // what it tells of its version: see PeerVersion
}

// PeerVersion is what this program tells its peers. The versions that it reads and writes
// stand in the state service. Commit af96c21 told 2, and 3661d31 nothing.
const PeerVersion = firstWithActivation

const (
	// firstRegistering is the least that a process tells which registers its versions in
	// the state service.
	firstRegistering = 3
	// firstWithTokenRanges is the least that a process tells whose terms have a range of
	// tokens each.
	firstWithTokenRanges = 4
	// firstWithActivation is the least that a process tells which answers wake requests.
	firstWithActivation = 5
)

// Outcome tells what became of a direct command.
type Outcome int

// The outcomes of a direct command.
const (
	NotSent    Outcome = iota // surely not executed: no connection
	Executed                  // 200
	Rejected                  // 409 or 400: nothing executed
	Unresolved                // no answer: may have been executed, or may be yet
)

// WorkerLink sends commands straight to workers.
type WorkerLink interface {
	// Orders sends a command, unless it can't before sendBy: its sender may have lost
	// the lead by then. A zero sendBy is no bound.
	SendCommands(ctx context.Context, addr string, token, session uint64, orders []Order, sendBy time.Time) (Outcome, *Report)
}

// MachineState is a machine's state in the cloud's list.
type MachineState int

// The states of the cloud's list.
const (
	Booting MachineState = iota
	Up
	Failed
)

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Machine int
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	State   MachineState
	AgeS    float64
}

// Errors of the cloud.
var (
	// ErrNoCapacity: none available; the same request may be sent again.
	ErrNoCapacity = errors.New("no capacity")
	// ErrCloud: no usable answer; the request may be executed, or may be later.
	ErrCloud = errors.New("cloud in trouble")
	// ErrCloudRefused: surely not executed, for now.
	ErrCloudRefused = errors.New("cloud refused for now")
	// ErrMalformed: the cloud calls the request malformed.
	ErrMalformed = errors.New("cloud calls the request malformed")
)

// Cloud rents machines.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]storage.MachineType, error)
	Launch(ctx context.Context, name string, h storage.LaunchRecord) ([]int, error)
	Terminate(ctx context.Context, machines []int) error
	// List reads a page of the machines after one of that number; with noMachine,
	// from the first.
	List(ctx context.Context, after int, limit int) (machines []ListedMachine, more bool, err error)
}

// UserRequest is what a user asks, as it is forwarded between nodes.
type UserRequest struct {
	Op   UserOp
	ID   string
	Spec storage.Spec
}

// UserOp is a user's kind of request.
type UserOp int

// The users' requests.
const (
	OpSubmit UserOp = iota
	OpPoll
	OpCancel
	OpPing // another node, ID, tests the link and asks for a delegation
)

// ObservedStatus is what a peer has told of itself, and when it was asked.
type ObservedStatus struct {
	PeerStatus
	Sent, Received time.Time // by our clock: before and after what it tells of
}

// PeerLink forwards users' requests and workers' reports to another node.
type PeerLink interface {
	// Forward asks the named node; an error means that no answer came.
	Forward(ctx context.Context, node string, req UserRequest) (Answer, error)
	// Heartbeats hands reports to the named node, which answers each.
	ForwardHeartbeats(ctx context.Context, node string, reports []*Report) ([]HeartbeatResponse, error)
	// Wake tells the named node of demand for a model; an error means that no answer came.
	Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error)
	// ReportUsage tells the named node how models are used here; an error means that no answer came.
	ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error)
	// Status is the named node's latest status; ok is false if there is none.
	Status(node string) (w ObservedStatus, ok bool)
	// UnreachableFor is for how long the named node has been out of reach; 0: it is
	// in reach.
	UnreachableFor(node string) time.Duration
	// KnownLeader is the latest leader that the peers have told of lately, with its
	// term; 0: none.
	KnownLeader() (leader string, term uint64)
}

// Unavailable is the answer of a node that can't decide now.
func Unavailable(id, reason string) Answer {
	return Answer{Code: CodeUnavailable, ID: id, Reason: reason, RetryS: 1}
}
