package storagetest

import (
	"time"

	"sagevale/internal/storage"
)

// Txn is a transaction as a client sent it. Tests may apply it again later.
type Txn struct {
	Guards []storage.Guard
	Ops    []storage.Op
}

// Faults holds the faults that a test injects into the requests of all clients, and the
// transactions that clients have sent.
type Faults struct {
	Sent []Txn // every received transaction that was within the limits
	// ForgetSent keeps Sent empty, because the transactions of a long test would exhaust memory.
	ForgetSent bool
	// LoseResponses is how many transactions, starting with the next one, are applied without a
	// response.
	LoseResponses int
	// LoseResponse, if set, selects transactions that are applied without a response.
	LoseResponse func(Txn) bool
	// DropTxn, if set, selects transactions that are never applied and have no response.
	DropTxn func(Txn) bool
	// Delay, if set, is called for each transaction. If it returns more than 0, the transaction
	// is applied after that delay and has no response.
	Delay func() time.Duration
	// DelayTxn, if set, is like Delay but receives the transaction. If both are set, the longer of
	// the two delays applies.
	DelayTxn func(Txn) time.Duration
	// BeforeApply, if set, is called for each received transaction, before it is applied or dropped.
	BeforeApply func(Txn)
	// AddedLatency is added to the latency of each request.
	AddedLatency time.Duration
	// RefuseRead, if set, selects keys and prefixes whose read requests are refused.
	RefuseRead func(key string) bool
}

// Update calls f while it holds the lock of the store. f may change the faults and the limits.
func (s *Service) Update(f func(s *Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// SetOutage begins or ends an outage of the store. During an outage all requests are refused and no
// lease expires. At the end of the outage all leases are renewed.
func (s *Service) SetOutage(on bool) {
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

// txnFaults holds the faults of one transaction.
type txnFaults struct {
	beforeApply  func(Txn)
	drop         bool
	delay        time.Duration
	loseResponse bool
}

// receiveTransaction records a transaction in Sent, unless ForgetSent is set, and returns its
// faults.
func (s *Service) receiveTransaction(txn Txn) txnFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ForgetSent {
		s.Sent = append(s.Sent, txn)
	}
	f := txnFaults{beforeApply: s.BeforeApply}
	f.drop = s.DropTxn != nil && s.DropTxn(txn)
	if s.LoseResponses > 0 {
		f.loseResponse = true
		s.LoseResponses--
	}
	f.loseResponse = f.loseResponse || s.LoseResponse != nil && s.LoseResponse(txn)
	if s.Delay != nil {
		f.delay = s.Delay()
	}
	if s.DelayTxn != nil {
		f.delay = max(f.delay, s.DelayTxn(txn))
	}
	return f
}
