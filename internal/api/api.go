// Package api defines the requests of users and the responses to them, in the form in which controllers handle them.
// Package protocol converts them from and to the JSON of the users' HTTP API, and package wire/coordination from and to
// the messages between controllers.
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
	// OpPing is sent by another controller, whose name is in the request's ID. It tests the connection and asks for the
	// receiver's status, in which a leader may delegate the renewal of leases to the sender.
	OpPing
)

// Request is a user's request, or a ping of another controller.
type Request struct {
	Op   Op
	ID   string       // job ID without its prefix; with OpPing, the sender's name
	Spec storage.Spec // of the submitted job; OpSubmit only
}

// Code classifies a response.
type Code int

// The response codes.
const (
	CodeCreated     Code = iota // the job was accepted by this request
	CodeOK                      // the job is known; the response holds its state
	CodeNotFound                // no such job was ever accepted
	CodeInfeasible              // the job can never run
	CodeUnavailable             // the controller can't decide on the request now
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
	RetrySeconds int         // time until the client should retry; 0: unspecified
	Peer         peer.Status // the response to OpPing
	// ValidFor is how long a response that isn't final may be passed on to the user, counted from the time when the
	// leader received the request. It ends when the leader's lease may have expired, because a successor may then have
	// sent the user a newer state. 0: unspecified.
	ValidFor time.Duration
}

// Final reports whether the response holds a job state that can never change.
func (r *Response) Final() bool {
	return r.Code == CodeOK && (r.State == StateDone || r.State == StateCancelled)
}

// Decided reports whether the controller decided on the request, so that the response is about the job itself.
func (r *Response) Decided() bool { return r.Code != CodeUnavailable && r.Code != CodeBusy }

// Unavailable returns the response of a controller that can't decide on the request now.
func Unavailable(id, reason string) Response {
	return Response{Code: CodeUnavailable, ID: id, Reason: reason, RetrySeconds: 1}
}
