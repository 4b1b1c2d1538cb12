package storage

import (
	"bytes"
	"encoding/json"

	"sagevale/internal/upgrade"
)

// A later version may write fields into records that this one doesn't know. It marks such a
// record with its version in schemaField, and this version keeps what it doesn't know when
// it rewrites the record: fields of the record itself, and of a job's specification. Records
// without the mark hold nothing that is unknown, so nothing is searched in them.
//
// What an earlier version must not ignore is not written as a field but behind a gate.

// schemaField is where a record says that a later version wrote into it.
const schemaField = "v"

var schemaMark = []byte(`"` + schemaField + `":`)

// specField is where a job's record holds its specification.
const specField = "s"

// knownFields are those of each kind of record.
var knownFields = map[byte][]string{
	KindJob:     upgrade.FieldNames(JobRecord{}),
	KindPage:    upgrade.FieldNames(PageRecord{}),
	KindMachine: upgrade.FieldNames(MachineRecord{}),
	KindLaunch:  upgrade.FieldNames(LaunchRecord{}),
	KindFleet:   upgrade.FieldNames(FleetRecord{}),
}

// specFields are those of a job's specification.
var specFields = upgrade.FieldNames(Spec{})

// keepUnknown returns the records with what later versions wrote into the ones before them.
func (j *Journal) keepUnknown(records []Record) []Record {
	for i, r := range records {
		if old := j.entities[r.Key].data; r.Data != nil && bytes.Contains(old, schemaMark) {
			records[i].Data = withUnknown(r.Key[0], old, r.Data)
		}
	}
	return records
}

// withUnknown returns data with the fields of old that this version doesn't know, if a
// later version wrote old.
func withUnknown(kind byte, old, data json.RawMessage) json.RawMessage {
	var mark struct {
		Schema uint32 `json:"v"`
	}
	known := knownFields[kind]
	if known == nil || json.Unmarshal(old, &mark) != nil || mark.Schema <= uint32(upgrade.Current) {
		return data
	}
	merged := mergeUnknown(old, data, known)
	if kind == KindJob {
		merged = mergeSpec(old, merged)
	}
	return merged
}

// mergeUnknown adds to an object what is unknown in another; where either can't be
// understood it stays as it is.
func mergeUnknown(old, data json.RawMessage, known []string) json.RawMessage {
	unknown, err := upgrade.FindUnknown(old, known)
	if err != nil {
		return data
	}
	merged, err := unknown.AddTo(data)
	if err != nil {
		return data
	}
	return merged
}

// mergeSpec does the same for the specification within a job's record.
func mergeSpec(old, data json.RawMessage) json.RawMessage {
	var before, after map[string]json.RawMessage
	if json.Unmarshal(old, &before) != nil || json.Unmarshal(data, &after) != nil || before[specField] == nil || after[specField] == nil {
		return data
	}
	after[specField] = mergeUnknown(before[specField], after[specField], specFields)
	merged, err := json.Marshal(after)
	if err != nil {
		return data
	}
	return merged
}
