// Package peer holds the status that controllers report to each other.
package peer

import (
	"time"

	"sagevale/internal/fencing"
)

// The values of Status.Version, by which processes of different versions show their peers what they support.
// Processes of commit af96c21 report 2, and processes of commit 3661d31 report no version. These values don't
// describe stored data: a process registers the versions of stored data that it reads and writes in the
// key-value store.
const (
	// VersionRegistering is the lowest version whose processes register the versions that they read and
	// write in the key-value store.
	VersionRegistering = 3
	// VersionTokenRanges is the lowest version whose terms have a range of fencing tokens each.
	VersionTokenRanges = 4
	// VersionActivation is the lowest version whose processes answer wake requests. A wake request asks for the start
	// of a model that is scaled to zero.
	VersionActivation = 5
	// Version is the version that this program reports.
	Version = VersionActivation
)

// Status is the status that a controller reports to a peer. To renew a worker's lease by delegation means to renew it
// in the leader's place.
type Status struct {
	Uptime                time.Duration // since the controller's process started
	SinceStoreContact     time.Duration // since the key-value store last answered the controller's election
	Leader                string        // leader that the controller itself has read from the key-value store; "": none
	Term                  uint64
	SinceHeartbeat        time.Duration // since the controller last received a worker's heartbeat; Uptime if never
	SinceDelegatedRenewal time.Duration // since the controller last renewed a worker's lease by delegation; Uptime if never
	DelegationPeriod      time.Duration // if the controller leads: how long the peer may renew workers' leases by delegation
	DelegationTerm        uint64        // the term of that delegation
	ExcludedMachines      []int         // machines whose leases must not be renewed by delegation
	Version               int           // the Version that the reporting program has; 0 if it reports none
}

// DelegationTokens returns the fencing tokens of the term in which the delegation was granted. Versions before
// VersionTokenRanges have one token per term, which is the term's number.
func (s *Status) DelegationTokens() fencing.Tokens {
	if s.Version < VersionTokenRanges {
		return fencing.Tokens{First: s.DelegationTerm, Last: s.DelegationTerm}
	}
	return fencing.TermTokens(s.DelegationTerm)
}

// ObservedStatus is a status that a peer has reported, with the times of the request and the response.
type ObservedStatus struct {
	Status
	Sent, Received time.Time // on this controller's clock: before and after the peer took its status
}
