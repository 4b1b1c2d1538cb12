package storagetest

import (
	"time"

	"sagevale/internal/storage"
)

// Txn is a transaction as it was sent. Tests may apply it again later.
type Txn struct {
	Guards []storage.Guard
	Ops    []storage.Op
}

// Faults are what a test injects into the requests of all clients, and what was sent.
type Faults struct {
	Sent []Txn // every transaction that arrived
	// ForgetSent keeps Sent empty: the transactions of a long test would fill the memory.
	ForgetSent bool
	// LoseResponses is how many of the next transactions are applied without an answer.
	LoseResponses int
	// Lose, if set, selects transactions that are applied without an answer.
	Lose func(Txn) bool
	// Drop, if set, selects transactions that are never applied, without an answer.
	Drop func(Txn) bool
	// Delay, if set, is called for each transaction. One for which it isn't 0 is applied that
	// much later, without an answer.
	Delay func() time.Duration
	// Late is like Delay for selected transactions.
	Late func(Txn) time.Duration
	// Before, if set, is called before each transaction is applied.
	Before func(Txn)
	// Slow is added to the time that each request takes.
	Slow time.Duration
	// Refuse, if set, selects keys and prefixes that can't be read.
	Refuse func(key string) bool
}

// Update changes the faults or the limits, under the lock of the store.
func (s *Service) Update(f func(s *Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// Outage begins or ends an outage, in which all requests are refused. Leases don't expire
// during an outage, and have their full life after it.
func (s *Service) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.expireLeases()
		s.outageSince = time.Now()
		return
	}
	s.outageSince = time.Time{}
	for id := range s.leases {
		s.renewLease(id)
	}
}

// txnFaults is what happens to one transaction.
type txnFaults struct {
	before     func(Txn)
	drop       bool
	late       time.Duration
	loseAnswer bool
}

// receive notes that a transaction has arrived, and returns what happens to it.
func (s *Service) receive(txn Txn) txnFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ForgetSent {
		s.Sent = append(s.Sent, txn)
	}
	f := txnFaults{before: s.Before}
	f.drop = s.Drop != nil && s.Drop(txn)
	if s.LoseResponses > 0 {
		f.loseAnswer = true
		s.LoseResponses--
	}
	f.loseAnswer = f.loseAnswer || s.Lose != nil && s.Lose(txn)
	if s.Delay != nil {
		f.late = s.Delay()
	}
	if s.Late != nil {
		f.late = max(f.late, s.Late(txn))
	}
	return f
}
