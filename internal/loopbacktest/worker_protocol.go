package loopbacktest

import (
	"cmp"
	"slices"
)

// Verbs of commands on the wire.
const (
	verbStart  = "run"
	verbStop   = "stop"
	verbForget = "forget"
)

// States of attempts on the wire.
const (
	statePulling   = "pulling"
	stateGathering = "gathering"
	stateRunning   = "running"
	stateEnded     = "ended"
)

// Causes of ended attempts on the wire.
const (
	causeDone    = "done"
	causeStopped = "stopped"
	causeUnknown = "unknown" // the job was not added to the workers
	causeBusy    = "busy"    // the machine holds another attempt of the task that has not ended
	causePeers   = "peers"   // the gang has lost a task
)

// command is one command to a worker, about one attempt.
type command struct {
	Verb    string `json:"Verb"`
	Task    string `json:"Chore"`
	Attempt uint64 `json:"Try"`
}

// heartbeatResponse is the response to a heartbeat.
type heartbeatResponse struct {
	Token    uint64    `json:"Baton"`
	Commands []command `json:"Orders"`
	Leader   string    `json:"Steward"` // in a redirect: the name of the controller that heartbeats must be sent to
}

// directCommands is a request with commands that the leader sends to a worker without waiting for the next heartbeat.
type directCommands struct {
	Token       uint64    `json:"Baton"`
	Incarnation uint64    `json:"Ride"`
	Commands    []command `json:"Orders"`
}

// taskStatus is the status of one attempt in a heartbeat.
type taskStatus struct {
	Task    string `json:"Chore"`
	Attempt uint64 `json:"Try"`
	State   string `json:"Standing"`
	Cause   string `json:"Cause,omitempty"`
}

// heartbeat is the full status of a worker.
type heartbeat struct {
	Machine     string       `json:"Mount"`
	Addr        string       `json:"Addr"`
	Type        string       `json:"Breed"`
	Zone        string       `json:"Pasture"`
	Spot        bool         `json:"Loaner"`
	Incarnation uint64       `json:"Ride"`
	Sequence    uint64       `json:"Tally"`
	Token       uint64       `json:"Baton"`
	Tasks       []taskStatus `json:"Chores"`
}

// newHeartbeat returns the next heartbeat of the machine, with the next sequence number.
func (m *machine) newHeartbeat() heartbeat {
	m.sequence++
	h := heartbeat{
		Machine: m.name, Addr: m.addr, Type: m.typeName, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, Token: m.token, Tasks: []taskStatus{},
	}
	for id, a := range m.attempts {
		h.Tasks = append(h.Tasks, taskStatus{Task: id.task, Attempt: id.number, State: a.state, Cause: a.cause})
	}
	slices.SortFunc(h.Tasks, func(a, b taskStatus) int { return cmp.Compare(a.Task, b.Task) })
	return h
}
