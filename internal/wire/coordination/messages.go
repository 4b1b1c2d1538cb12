// Package coordination defines the messages that controllers exchange in encoding/gob, over the connections between
// them and through the key-value store, and converts them from and to the domain types.
//
// Controllers of other versions read and write these messages. gob sends the names of types and fields. For unnamed
// types (such as []*coordination.Report) it also sends the package name. Therefore the name of this package and the names
// of its message types and their fields must never change, even if the domain types are renamed. Fields may only be
// added. If the corresponding field of the domain type has another name, a comment after the field gives the domain type
// and that name. Only code that sends or receives messages may use the names of this package. Import this package under
// the name wire.
package coordination

import (
	"time"

	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Room is the wire form of storage.Resources.
type Room struct {
	CPUs     float64
	GPUs     float64
	MemoryGB float64
}

// Spec is the wire form of storage.Spec, a job's specification.
type Spec struct {
	ID          string
	Class       string
	Team        string
	Service     bool
	Gang        bool
	Priority    storage.Priority
	Tasks       int
	Room        Room // storage.Spec.Resources
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

// UserRequest is the wire form of api.Request.
type UserRequest struct {
	Op   api.Op
	ID   string
	Spec Spec
}

// Answer is the wire form of api.Response.
type Answer struct {
	Code    api.Code
	ID      string
	State   api.JobState
	Done    int
	Running int
	Reason  string
	RetryS  int // api.Response.RetrySeconds
	Peer    PeerState
	Holds   time.Duration // api.Response.ValidFor
}

// PeerState is the wire form of peer.Status.
type PeerState struct {
	Up         time.Duration // peer.Status.Uptime
	SinceState time.Duration // peer.Status.SinceStoreContact
	Leader     string
	Term       uint64
	Hears      time.Duration // peer.Status.SinceHeartbeat
	Alone      time.Duration // peer.Status.SinceDelegatedRenewal
	Lends      time.Duration // peer.Status.DelegationPeriod
	LendTerm   uint64        // peer.Status.DelegationTerm
	Barred     []int         // peer.Status.ExcludedMachines
	Version    int
}

// TaskID is the wire form of worker.TaskID.
type TaskID struct {
	Job  string
	Task int
}

// TaskReport is the wire form of worker.TaskReport.
type TaskReport struct {
	ID    TaskID
	Try   uint64 // worker.TaskReport.Attempt
	State worker.TaskState
	Cause worker.ExitCause
	Saved bool
}

// Report is the wire form of worker.Report.
type Report struct {
	Machine int
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session uint64 // worker.Report.Incarnation
	Seq     uint64
	Token   uint64
	Notice  *float64 // worker.Report.NoticeSeconds
	Tasks   []TaskReport
}

// Order is the wire form of worker.Command.
type Order struct {
	Verb   worker.Verb
	ID     TaskID
	Try    uint64  // worker.Command.Attempt
	GraceS float64 // worker.Command.GraceSeconds
}

// BeatAnswer is the wire form of worker.HeartbeatResponse.
type BeatAnswer struct {
	Accepted  bool
	Token     uint64
	Orders    []Order // worker.HeartbeatResponse.Commands
	Leader    string
	Busy      bool
	Undecided bool
}

// letter is the wire form of RelayRequest.
type letter struct {
	User   *UserRequest
	Report *Report
}

// mailReply is the wire form of RelayResponse.
type mailReply struct {
	Done bool // RelayResponse.Answered
	User *Answer
	Beat *BeatAnswer // RelayResponse.Heartbeat
}

// FromStatus converts a controller's status to its wire form.
func FromStatus(s peer.Status) PeerState {
	return PeerState{
		Up: s.Uptime, SinceState: s.SinceStoreContact, Leader: s.Leader, Term: s.Term,
		Hears: s.SinceHeartbeat, Alone: s.SinceDelegatedRenewal,
		Lends: s.DelegationPeriod, LendTerm: s.DelegationTerm, Barred: s.ExcludedMachines, Version: s.Version,
	}
}

// Status converts a received status from its wire form.
func (p *PeerState) Status() peer.Status {
	return peer.Status{
		Uptime: p.Up, SinceStoreContact: p.SinceState, Leader: p.Leader, Term: p.Term,
		SinceHeartbeat: p.Hears, SinceDelegatedRenewal: p.Alone,
		DelegationPeriod: p.Lends, DelegationTerm: p.LendTerm, ExcludedMachines: p.Barred, Version: p.Version,
	}
}
