// Package api defines the requests of users and the responses to them, in the form in which controllers handle them.
// Package protocol converts these types from and to the JSON of the users' HTTP API. Package wire/coordination converts
// them from and to the messages between controllers.
package api

import (
	"time"

	"sagevale/internal/peer"
	"sagevale/internal/storage"
)

// Op is the kind of a request.
type Op int

// The kinds of requests.
const (
	OpSubmit Op = iota
	OpPoll
	OpCancel
	// OpPing is sent by another controller. It tests the connection and requests the receiver's status. If the receiver
	// is the leader, the status may also delegate the renewal of workers' leases to the sender.
	OpPing
)

// Request is a user's request, or a ping of another controller.
type Request struct {
	Op   Op
	ID   string       // job ID without its prefix; with OpPing, the sender's name
	Spec storage.Spec // specification of the submitted job; only with OpSubmit
}

// Code classifies a response.
type Code int

// The response codes.
const (
	CodeCreated     Code = iota // the job was accepted by this request
	CodeOK                      // the job is known; the response holds its state
	CodeNotFound                // no such job was ever accepted
	CodeInfeasible              // the job can never run
	CodeUnavailable             // the controller can't respond with a result now; the client should retry
	CodeBusy                    // too many requests
)

// JobState is the state of a job as its user sees it.
type JobState int

// The states of a job.
const (
	StatePending JobState = iota
	StateRunning
	StateDone
	StateCancelled
)

// Response is the response to a Request.
type Response struct {
	Code         Code
	ID           string
	State        JobState
	Done         int         // number of tasks that are done
	Running      int         // number of running tasks
	Reason       string      // why the response has no job state
	RetrySeconds int         // how many seconds the client should wait before it retries; 0: unspecified
	Peer         peer.Status // status of the responding controller; only in responses to OpPing
	// ValidFor limits how long the leader's response may be passed on to the user, counted from the time when the leader
	// received the request. At the end of that time, the leader's lease may have expired, and the next leader may have
	// sent the user a newer state. ValidFor doesn't apply to final responses. A value of 0 means that
	// there is no limit.
	ValidFor time.Duration
}

// Final reports whether the response holds a job state that can never change.
func (r *Response) Final() bool {
	return r.Code == CodeOK && (r.State == StateDone || r.State == StateCancelled)
}

// HasResult reports whether the response is the result of the request. If it isn't, the client should retry the request.
func (r *Response) HasResult() bool { return r.Code != CodeUnavailable && r.Code != CodeBusy }

// Unavailable returns a response with CodeUnavailable, which asks the client to retry the request after a second.
func Unavailable(id, reason string) Response {
	return Response{Code: CodeUnavailable, ID: id, Reason: reason, RetrySeconds: 1}
}
