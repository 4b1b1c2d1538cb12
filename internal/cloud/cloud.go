// Package cloud holds what the cloud's interface tells of machines, and its errors.
package cloud

import "errors"

// State is the state of a machine in the cloud's list.
type State int

// The states of the cloud's list.
const (
	Booting State = iota
	Running
	Failed // has stopped on its own, and is listed until it is deleted
)

// Machine is a machine in the cloud's list.
type Machine struct {
	ID         int
	Addr       string
	Type       string
	Zone       string
	Spot       bool
	State      State
	AgeSeconds float64 // since the launch was requested, as of the time that the list describes
}

// Errors of the cloud.
var (
	// ErrNoCapacity: none available; the same request may be sent again.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnknownOutcome: no usable answer; the request may have been executed, or may be later.
	ErrUnknownOutcome = errors.New("cloud in trouble")
	// ErrRejected: certainly not executed.
	ErrRejected = errors.New("cloud refused for now")
	// ErrMalformed: the cloud calls the request malformed.
	ErrMalformed = errors.New("cloud calls the request malformed")
)
