// Package coordination holds the messages that controllers exchange in encoding/gob, over the links
// between them and through the key-value store, and maps them to the types of the domain.
//
// Controllers of other versions read and write these messages. gob sends the names of types and fields,
// and of unnamed types (such as []*coordination.Report) also the name of their package. So the names in
// this package, and its own, never change, whatever the domain calls the same things; fields are only
// added. No other package may depend on them. Import it under the name wire.
package coordination

import (
	"time"

	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Room is an amount of resources as it is sent: storage.Resources.
type Room struct {
	CPUs     float64
	GPUs     float64
	MemoryGB float64
}

// Spec is a job's specification as it is sent: storage.Spec.
type Spec struct {
	ID          string
	Class       string
	Team        string
	Service     bool
	Gang        bool
	Priority    storage.Priority
	Tasks       int
	Room        Room // Resources
	Types       []string
	Zone        string
	SameZone    bool
	Spread      bool
	Spot        bool
	Image       string
	ImageGB     float64
	EstimateS   float64
	CheckpointS float64
	SaveS       float64
	DeadlineS   float64
}

// UserRequest is a user's request as it is sent: api.Request.
type UserRequest struct {
	Op   api.Op
	ID   string
	Spec Spec
}

// Answer is the answer to a user as it is sent: api.Response.
type Answer struct {
	Code    api.Code
	ID      string
	State   api.JobState
	Done    int
	Running int
	Reason  string
	RetryS  int
	Peer    PeerState
	Holds   time.Duration // ValidFor
}

// PeerState is a controller's status as it is sent: peer.Status.
type PeerState struct {
	Up         time.Duration // Uptime
	SinceState time.Duration // SinceStoreContact
	Leader     string
	Term       uint64
	Hears      time.Duration // SinceHeartbeat
	Alone      time.Duration // SinceDelegatedRenewal
	Lends      time.Duration // DelegationPeriod
	LendTerm   uint64        // DelegationTerm
	Barred     []int         // Excluded
	Version    int
}

// TaskID names a task as it is sent: worker.TaskID.
type TaskID struct {
	Job  string
	Task int
}

// TaskReport is the state of a task as it is sent: worker.TaskReport.
type TaskReport struct {
	ID    TaskID
	Try   uint64 // Attempt
	State worker.TaskState
	Cause worker.ExitCause
	Saved bool
}

// Report is a worker's report as it is sent: worker.Report.
type Report struct {
	Machine int
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session uint64 // Incarnation
	Seq     uint64
	Token   uint64
	Notice  *float64 // NoticeSeconds
	Tasks   []TaskReport
}

// Order is a command as it is sent: worker.Command.
type Order struct {
	Verb   worker.Verb
	ID     TaskID
	Try    uint64  // Attempt
	GraceS float64 // GraceSeconds
}

// BeatAnswer is the answer to a heartbeat as it is sent: worker.HeartbeatResponse.
type BeatAnswer struct {
	Accepted  bool
	Token     uint64
	Orders    []Order // Commands
	Leader    string
	Busy      bool
	Undecided bool
}

// letter is one request of a relayed batch.
type letter struct {
	User   *UserRequest
	Report *Report
}

// mailReply is the answer to a letter; Done tells that there is one.
type mailReply struct {
	Done bool
	User *Answer
	Beat *BeatAnswer
}

// FromStatus returns a status as it is sent.
func FromStatus(s peer.Status) PeerState {
	return PeerState{
		Up: s.Uptime, SinceState: s.SinceStoreContact, Leader: s.Leader, Term: s.Term,
		Hears: s.SinceHeartbeat, Alone: s.SinceDelegatedRenewal,
		Lends: s.DelegationPeriod, LendTerm: s.DelegationTerm, Barred: s.ExcludedMachines, Version: s.Version,
	}
}

// Status returns the status that was sent.
func (p *PeerState) Status() peer.Status {
	return peer.Status{
		Uptime: p.Up, SinceStoreContact: p.SinceState, Leader: p.Leader, Term: p.Term,
		SinceHeartbeat: p.Hears, SinceDelegatedRenewal: p.Alone,
		DelegationPeriod: p.Lends, DelegationTerm: p.LendTerm, ExcludedMachines: p.Barred, Version: p.Version,
	}
}
