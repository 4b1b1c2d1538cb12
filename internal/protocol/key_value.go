package protocol

import (
	"encoding/json"

	"sagevale/internal/storage"
)

// StoredItem is a key of the state service.
type StoredItem struct {
	Key     string          `json:"K"`
	Data    json.RawMessage `json:"Data"`
	Version uint64          `json:"Stamp"`
	Lease   uint64          `json:"Tether"`
}

// Item takes a key off the wire.
func (i StoredItem) Item() storage.Item {
	return storage.Item{Key: i.Key, Data: i.Data, Version: i.Version, Lease: i.Lease}
}

// StoredItems is a page of keys.
type StoredItems struct {
	Items    []StoredItem `json:"Items"`
	More     bool         `json:"More"`
	Revision uint64       `json:"LedgerRev"`
}

// Txn is a transaction.
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

// NewTxn puts a transaction on the wire.
func NewTxn(guards []storage.Guard, ops []storage.Op) Txn {
	t := Txn{Guards: make([]txnGuard, 0, len(guards)), Ops: make([]txnOp, 0, len(ops))}
	for _, g := range guards {
		t.Guards = append(t.Guards, txnGuard{g.Key, g.Version})
	}
	for _, o := range ops {
		if o.Delete {
			t.Ops = append(t.Ops, txnOp{Remove: o.Key})
			continue
		}
		t.Ops = append(t.Ops, txnOp{Set: o.Key, Data: o.Data, Lease: o.Lease})
	}
	return t
}

// TxnAnswer is the answer to a transaction.
type TxnAnswer struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"LedgerRev"`
}

// Life asks for a lease.
type Life struct {
	LifeMS int64 `json:"LifeMs"`
}

// Lease is a lease granted.
type Lease struct {
	ID uint64 `json:"Tether"`
}

// Changes is what a watch returns.
type Changes struct {
	Revision uint64   `json:"LedgerRev"`
	Events   []change `json:"Events"`
}

type change struct {
	Set     string          `json:"Set"`
	Remove  string          `json:"Remove"`
	Data    json.RawMessage `json:"Data"`
	Version uint64          `json:"Stamp"`
}

// Items takes the changes off the wire; a removed key has no data.
func (c Changes) Items() []storage.Item {
	out := make([]storage.Item, 0, len(c.Events))
	for _, e := range c.Events {
		if e.Remove != "" {
			out = append(out, storage.Item{Key: e.Remove, Version: e.Version})
			continue
		}
		out = append(out, storage.Item{Key: e.Set, Data: e.Data, Version: e.Version})
	}
	return out
}
