// Package cloud holds the types and errors of the cloud provider's interface.
package cloud

import "errors"

// State is the state of a machine in the cloud's machine list.
type State int

// The states of a listed machine.
const (
	Booting State = iota
	Running
	Failed // has stopped without a termination request, and is listed until it is deleted
)

// Machine is an entry of the cloud's machine list.
type Machine struct {
	ID         int
	Addr       string
	Type       string
	Zone       string
	Spot       bool
	State      State
	AgeSeconds float64 // time from the launch request to the list's own timestamp
}

// Errors of cloud calls.
var (
	// ErrNoCapacity means that the cloud has none of the requested machines available. The same request may be sent
	// again.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnknownOutcome means that there was no usable response. The request may have been executed, or may
	// still be executed later.
	ErrUnknownOutcome = errors.New("outcome of the cloud request is unknown")
	// ErrRejected means that the request was certainly not executed, for a reason that the other errors don't
	// cover: it could not be sent, or the cloud refused it with HTTP status 429 or 503.
	ErrRejected = errors.New("cloud did not execute the request")
	// ErrMalformed means that the cloud refused to execute the request because it is invalid (HTTP status 400).
	ErrMalformed = errors.New("cloud rejected the request as malformed")
)
