package protocol

import (
	"encoding/json"

	"sagevale/internal/storage"
)

// StoredItem is a key of the key-value store with its value, version and lease.
type StoredItem struct {
	Key     string          `json:"K"`
	Data    json.RawMessage `json:"Data"`
	Version uint64          `json:"Stamp"`
	Lease   uint64          `json:"Tether"`
}

// Item returns the item as the domain type.
func (i StoredItem) Item() storage.Item {
	return storage.Item{Key: i.Key, Data: i.Data, Version: i.Version, Lease: i.Lease}
}

// ItemPage is one page of a list of items.
type ItemPage struct {
	Items    []StoredItem `json:"Items"`
	More     bool         `json:"More"`
	Revision uint64       `json:"LedgerRev"`
}

// Txn is the body of a guarded transaction. The store executes the operations only if all guards hold, that is, if each
// guard's key has the guard's version. Version 0 means that the key must not exist.
type Txn struct {
	Guards []txnGuard `json:"Guards"`
	Ops    []txnOp    `json:"Apply,omitempty"`
}

type txnGuard struct {
	Key     string `json:"K"`
	Version uint64 `json:"Stamp"`
}

type txnOp struct {
	Set    string          `json:"Set,omitempty"`
	Data   json.RawMessage `json:"Data,omitempty"`
	Lease  uint64          `json:"Tether,omitempty"`
	Remove string          `json:"Remove,omitempty"`
}

// NewTxn returns the body of a guarded transaction.
func NewTxn(guards []storage.Guard, ops []storage.Op) Txn {
	txn := Txn{Guards: make([]txnGuard, 0, len(guards)), Ops: make([]txnOp, 0, len(ops))}
	for _, g := range guards {
		txn.Guards = append(txn.Guards, txnGuard{g.Key, g.Version})
	}
	for _, o := range ops {
		if o.Delete {
			txn.Ops = append(txn.Ops, txnOp{Remove: o.Key})
			continue
		}
		txn.Ops = append(txn.Ops, txnOp{Set: o.Key, Data: o.Data, Lease: o.Lease})
	}
	return txn
}

// TxnResponse is the body of the response to a transaction.
type TxnResponse struct {
	Failed   []string `json:"failed"`    // keys of the guards that don't hold
	Revision uint64   `json:"LedgerRev"` // revision of the store after the transaction
}

// LeaseGrantRequest is the body of a request for a lease.
type LeaseGrantRequest struct {
	TTLMS int64 `json:"LifeMs"` // time to live in milliseconds
}

// LeaseGrantResponse is the body of the response to a request for a lease.
type LeaseGrantResponse struct {
	ID uint64 `json:"Tether"`
}

// WatchResponse is the body of the response to a watch, a request that waits for changes.
type WatchResponse struct {
	Revision uint64   `json:"LedgerRev"`
	Events   []change `json:"Events"`
}

type change struct {
	Set     string          `json:"Set"`
	Remove  string          `json:"Remove"`
	Data    json.RawMessage `json:"Data"`
	Version uint64          `json:"Stamp"`
}

// Items returns the changed items. The item of a removed key has no data.
func (c WatchResponse) Items() []storage.Item {
	items := make([]storage.Item, 0, len(c.Events))
	for _, e := range c.Events {
		if e.Remove != "" {
			items = append(items, storage.Item{Key: e.Remove, Version: e.Version})
			continue
		}
		items = append(items, storage.Item{Key: e.Set, Data: e.Data, Version: e.Version})
	}
	return items
}
