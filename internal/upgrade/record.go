package upgrade

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// recordSchema is the schema number of the cluster record and of registrations. New fields may be
// added without a new schema number. A value with another schema number can't be decoded.
const recordSchema = 1

// Phase says how far the upgrade to the active version has advanced, and whether it may still be rolled back.
type Phase string

// The phases of the cluster record.
const (
	Stable      Phase = "stable"      // the baseline version is active
	Soaking     Phase = "soaking"     // the active version isn't finalized yet, and may still be rolled back
	Withdrawing Phase = "withdrawing" // gates are being withdrawn because a controller was rolled back
	Finalized   Phase = "finalized"   // the active version is finalized: controllers of lower versions are refused
)

// Record is the cluster record: the active version and the state of the gates. Only the leader
// writes it.
type Record struct {
	Schema int     `json:"schema"`
	Active Version `json:"active"`
	// Minimum is the finalized version. Controllers of lower versions are refused. 0: no version is finalized.
	Minimum Version                `json:"minimum,omitempty"`
	Phase   Phase                  `json:"phase"`
	Gates   map[GateName]GateState `json:"gates,omitempty"`
	// Fence is the lowest version at which a controller that doesn't register may lead. 0: there is no
	// limit. Such a controller doesn't read Fence. While Fence isn't 0, the term record is therefore
	// stored in a format that prevents all of these controllers from leading. removeFence sets Fence to 0
	// if the version of one of them is high enough to lead, unless a version is finalized.
	Fence Version `json:"fence,omitempty"`
	Term  uint64  `json:"term"` // term of the leader that wrote the record
	// ActivatedMS is the time of the latest activation, in Unix milliseconds. The soak time starts then.
	ActivatedMS int64 `json:"activated_ms,omitempty"`

	unknownFields UnknownFields
}

// recordFields lists the JSON names of the Record fields that this program defines.
var recordFields = FieldNames(Record{})

// Initial returns the record that applies while no record is stored.
func Initial() Record { return Record{Schema: recordSchema, Active: Baseline, Phase: Stable} }

// Gate returns the state of a gate, or the zero value if the gate is closed.
func (r Record) Gate(name GateName) GateState { return r.Gates[name] }

// GateNames returns the names of the record's gates, sorted.
func (r *Record) GateNames() []GateName { return slices.Sorted(maps.Keys(r.Gates)) }

// clone returns a copy whose Gates map is not nil and may be modified.
func (r *Record) clone() Record {
	out := *r
	out.Gates = maps.Clone(r.Gates)
	if out.Gates == nil {
		out.Gates = make(map[GateName]GateState)
	}
	return out
}

// phaseAfterWithdrawal returns the phase of the record after a withdrawal has ended.
func (r *Record) phaseAfterWithdrawal() Phase {
	switch r.Active {
	case r.Minimum:
		return Finalized
	case Baseline:
		return Stable
	default:
		return Soaking
	}
}

// plainRecord is Record without its methods, so that encoding/json uses the default encoding.
type plainRecord Record

// MarshalJSON encodes the record together with the unknown fields that DecodeRecord found in it.
func (r Record) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(plainRecord(r))
	if err != nil {
		return nil, err
	}
	return r.unknownFields.AddTo(known)
}

// DamagedError reports that the value stored under a key can't be decoded. No part of the value is used.
type DamagedError struct {
	Key    string
	Reason string
}

func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }

// DecodeRecord decodes the cluster record that was stored under key. It returns a *DamagedError if the
// value is not a valid record. The decoded record keeps the fields that this program doesn't define.
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
	if reason := r.inconsistency(); reason != "" {
		return damaged("%s", reason)
	}
	r.unknownFields = unknown
	return r, nil
}

// inconsistency describes the first contradiction within the record, or returns "" if there is none.
func (r *Record) inconsistency() string {
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
			return fmt.Sprintf("gate %s belongs to version %d, but the active version is %d", name, g.Since, r.Active)
		}
	}
	return ""
}
