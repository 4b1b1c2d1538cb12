// Package peer holds what controllers tell each other of themselves.
package peer

import (
	"time"

	"sagevale/internal/fencing"
)

// The numbers by which processes of different versions tell each other what they support. Commit af96c21
// told 2, and 3661d31 none. Which versions a process reads and writes stands in the key-value store.
const (
	// VersionRegistering is the least that a process tells which registers its versions in the
	// key-value store.
	VersionRegistering = 3
	// VersionTokenRanges is the least that a process tells whose terms have a range of tokens each.
	VersionTokenRanges = 4
	// VersionActivation is the least that a process tells which answers wake requests.
	VersionActivation = 5
	// Version is what this program tells.
	Version = VersionActivation
)

// Status is what a controller tells another of itself.
type Status struct {
	Uptime                time.Duration // since its process began
	SinceStoreContact     time.Duration // since its leadership last got an answer of the key-value store
	Leader                string        // who leads, as it knows first-hand; "": nobody it knows of
	Term                  uint64
	SinceHeartbeat        time.Duration // since a worker last reported to it; Uptime if none has
	SinceDelegatedRenewal time.Duration // since it last renewed a lease by delegation; Uptime if it never has
	DelegatesFor          time.Duration // of a leader: how long the asker may renew leases by delegation
	DelegationTerm        uint64        // the term of that delegation
	Excluded              []int         // machines whose leases the delegation doesn't cover
	Version               int           // see Version
}

// DelegationTokens are the fencing tokens under which a leader delegates. Earlier versions have one a term.
func (s *Status) DelegationTokens() fencing.Tokens {
	if s.Version < VersionTokenRanges {
		return fencing.Tokens{First: s.DelegationTerm, Last: s.DelegationTerm}
	}
	return fencing.TermTokens(s.DelegationTerm)
}

// ObservedStatus is the status that a peer has told, and when it was asked.
type ObservedStatus struct {
	Status
	Sent, Received time.Time // by our clock, before and after what it tells of
}
