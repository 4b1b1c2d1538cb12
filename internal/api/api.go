// Package api holds the requests of users and the answers to them, as controllers handle them. Package
// protocol maps them to the JSON of the users' interface, and package wire to the messages between
// controllers.
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
	// OpPing comes from another controller, named by the request's ID: it tests the link, and asks
	// for a delegation.
	OpPing
)

// Request is a request of a user.
type Request struct {
	Op   Op
	ID   string       // the job's, without its prefix
	Spec storage.Spec // of a submission
}

// Code classifies a response.
type Code int

// The codes.
const (
	CodeCreated     Code = iota // accepted just now
	CodeOK                      // known, with its state
	CodeNotFound                // never accepted
	CodeInfeasible              // can never run
	CodeUnavailable             // can't be decided now
	CodeBusy                    // too many requests
)

// JobState is the state of a job that its user sees.
type JobState int

// The states of a job.
const (
	StatePending JobState = iota
	StateRunning
	StateDone
	StateCancelled
)

// Response is the answer to a request.
type Response struct {
	Code         Code
	ID           string
	State        JobState
	Done         int         // tasks that are done
	Running      int         // tasks that run
	Reason       string      // of a code that carries no state
	RetrySeconds int         // when to ask again; 0: not said
	Peer         peer.Status // the answer to OpPing
	// ValidFor is for how long after the leader was asked a response that isn't final may be passed
	// on: until the leader's lease may have expired, for a successor may have told the user something
	// newer. 0: not said.
	ValidFor time.Duration
}

// Final reports whether the job's state can never change.
func (r *Response) Final() bool {
	return r.Code == CodeOK && (r.State == StateDone || r.State == StateCancelled)
}

// Decided reports whether the response says anything of the job.
func (r *Response) Decided() bool { return r.Code != CodeUnavailable && r.Code != CodeBusy }

// Unavailable is the response of a controller that can't decide now.
func Unavailable(id, reason string) Response {
	return Response{Code: CodeUnavailable, ID: id, Reason: reason, RetrySeconds: 1}
}
