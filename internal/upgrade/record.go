package upgrade

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// recordSchema is the shape of the cluster record and of registrations that this program
// knows. Fields may be added within a schema; a larger one can't be understood.
const recordSchema = 1

// Phase tells where an upgrade stands.
type Phase string

// The phases of the cluster record.
const (
	Stable      Phase = "stable"      // at the baseline: nothing was activated yet
	Soaking     Phase = "soaking"     // activated; any controller may still go back
	Withdrawing Phase = "withdrawing" // gates are being withdrawn for an older controller
	Finalized   Phase = "finalized"   // older versions than the active one are refused
)

// GatePhase tells whether a gate may be used. A gate that isn't in the record is closed.
type GatePhase string

// The phases of a gate.
const (
	GateOpen        GatePhase = "open"
	GateWithdrawing GatePhase = "withdrawing"
)

// GateState is a gate in the cluster record.
type GateState struct {
	Since Version   `json:"since"`
	Phase GatePhase `json:"phase"`
	// Used tells that something may depend on the gate. Until then even a version
	// that doesn't know the gate may lead, and withdraw it.
	Used bool `json:"used,omitempty"`

	unknown UnknownFields
}

// plainGateState is GateState without its methods.
type plainGateState GateState

// MarshalJSON writes the state with the unknown fields that it was read with.
func (g GateState) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(plainGateState(g))
	if err != nil {
		return nil, err
	}
	return g.unknown.AddTo(known)
}

// UnmarshalJSON reads a state and keeps the fields that it doesn't know.
func (g *GateState) UnmarshalJSON(data []byte) error {
	var plain plainGateState
	if err := json.Unmarshal(data, &plain); err != nil {
		return err
	}
	unknown, err := FindUnknown(data, gateFields)
	if err != nil {
		return err
	}
	*g = GateState(plain)
	g.unknown = unknown
	return nil
}

// Usable tells whether new dependants of the gate may be made.
func (g GateState) Usable() bool { return g.Phase == GateOpen && g.Used }

// Record is the cluster record: what is in force. Only the leader writes it.
type Record struct {
	Schema int     `json:"schema"`
	Active Version `json:"active"`
	// Minimum is the finalized version; older controllers are refused. 0: none yet.
	Minimum Version                `json:"minimum,omitempty"`
	Phase   Phase                  `json:"phase"`
	Gates   map[GateName]GateState `json:"gates,omitempty"`
	// Fence is the version below which a controller that doesn't register must not
	// take the lead. 0: none is kept from it.
	Fence Version `json:"fence,omitempty"`
	Term  uint64  `json:"term"` // of the leader that wrote it
	// ActivatedMS is the time of day of the latest activation, which the soak
	// counts from.
	ActivatedMS int64 `json:"activated_ms,omitempty"`

	unknown UnknownFields
}

// Initial is the record where none is stored.
func Initial() Record { return Record{Schema: recordSchema, Active: Baseline, Phase: Stable} }

// Gate returns a gate's state; the zero state is closed.
func (r Record) Gate(name GateName) GateState { return r.Gates[name] }

// clone returns a copy that may be changed.
func (r *Record) clone() Record {
	out := *r
	out.Gates = maps.Clone(r.Gates)
	if out.Gates == nil {
		out.Gates = make(map[GateName]GateState)
	}
	return out
}

// GateNames lists the gates of the record in order.
func (r *Record) GateNames() []GateName { return slices.Sorted(maps.Keys(r.Gates)) }

// DamagedError tells that a stored value can't be understood. Nothing is guessed from it.
type DamagedError struct {
	Key    string
	Reason string
}

func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }

// recordFields and gateFields name the fields that are known.
var (
	recordFields = FieldNames(Record{})
	gateFields   = FieldNames(GateState{})
)

// plainRecord is Record without its methods.
type plainRecord Record

// MarshalJSON writes the record with the unknown fields that it was read with.
func (r Record) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(plainRecord(r))
	if err != nil {
		return nil, err
	}
	return r.unknown.AddTo(known)
}

// DecodeRecord reads the cluster record, stored under key.
func DecodeRecord(key string, data []byte) (Record, error) {
	damaged := func(format string, args ...any) (Record, error) {
		return Record{}, &DamagedError{Key: key, Reason: fmt.Sprintf(format, args...)}
	}
	unknown, err := FindUnknown(data, recordFields)
	if err != nil {
		return damaged("%v", err)
	}
	var plain plainRecord
	if err := json.Unmarshal(data, &plain); err != nil {
		return damaged("a field has the wrong type")
	}
	r := Record(plain)
	if r.Schema != recordSchema {
		return damaged("schema %d is not known, only %d", r.Schema, recordSchema)
	}
	if reason := r.inconsistent(); reason != "" {
		return damaged("%s", reason)
	}
	r.unknown = unknown
	return r, nil
}

// inconsistent tells what contradicts itself in a record; "": nothing.
func (r *Record) inconsistent() string {
	switch {
	case r.Active < Baseline:
		return fmt.Sprintf("the active version %d is below %d", r.Active, Baseline)
	case r.Minimum > r.Active:
		return fmt.Sprintf("the minimum version %d is above the active version %d", r.Minimum, r.Active)
	case !slices.Contains([]Phase{Stable, Soaking, Withdrawing, Finalized}, r.Phase):
		return fmt.Sprintf("phase %q is not known", r.Phase)
	}
	for _, name := range r.GateNames() {
		g := r.Gates[name]
		switch {
		case name == "":
			return "a gate has no name"
		case g.Phase != GateOpen && g.Phase != GateWithdrawing:
			return fmt.Sprintf("phase %q of gate %s is not known", g.Phase, name)
		case g.Since < Baseline || g.Since > r.Active:
			return fmt.Sprintf("gate %s of version %d stands beside the active version %d", name, g.Since, r.Active)
		}
	}
	return ""
}

// Registration is what a controller's process says of itself, stored until the next
// process of that controller replaces it.
type Registration struct {
	Schema  int    `json:"schema"`
	Node    string `json:"node"`
	Session string `json:"session"` // unlike any other process's
	Range
}

// NewRegistration makes the registration of a process.
func NewRegistration(node, session string, versions Range) Registration {
	return Registration{Schema: recordSchema, Node: node, Session: session, Range: versions}
}

// DecodeRegistration reads the registration of a node, stored under key.
func DecodeRegistration(key, node string, data []byte) (Registration, error) {
	var reg Registration
	if err := json.Unmarshal(data, &reg); err != nil {
		return Registration{}, &DamagedError{Key: key, Reason: "it is no registration"}
	}
	switch {
	case reg.Schema != recordSchema:
		return Registration{}, &DamagedError{Key: key, Reason: fmt.Sprintf("schema %d is not known, only %d", reg.Schema, recordSchema)}
	case reg.Node != node:
		return Registration{}, &DamagedError{Key: key, Reason: fmt.Sprintf("it names node %q", reg.Node)}
	case !reg.valid():
		return Registration{}, &DamagedError{Key: key, Reason: fmt.Sprintf("versions %s make no range", reg.Range)}
	}
	return reg, nil
}
