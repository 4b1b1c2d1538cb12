package storage

import (
	"bytes"
	"encoding/json"

	"sagevale/internal/upgrade"
)

// A later version may write fields into records that this one doesn't know. It marks such a
// record with its version in schemaField. When this version rewrites a marked record, it keeps
// the unknown fields of the record itself and of a job's specification. Records without the
// mark have no unknown fields, so they are not searched.
//
// What an earlier version must not ignore is not written as a field but behind a gate.

const (
	// schemaField is the field of a record that holds the later version that wrote into it.
	schemaField = "v"
	// specField is the field of a job's record that holds its specification.
	specField = "s"
)

var schemaMark = []byte(`"` + schemaField + `":`)

// knownFields are the fields of each kind of record that this version knows.
var knownFields = map[byte][]string{
	KindJob:     upgrade.FieldNames(JobRecord{}),
	KindPage:    upgrade.FieldNames(PageRecord{}),
	KindMachine: upgrade.FieldNames(MachineRecord{}),
	KindLaunch:  upgrade.FieldNames(LaunchRecord{}),
	KindFleet:   upgrade.FieldNames(FleetRecord{}),
}

// knownSpecFields are those of a job's specification.
var knownSpecFields = upgrade.FieldNames(Spec{})

// keepUnknown adds to the records the fields that later versions wrote into the stored ones.
func (j *Journal) keepUnknown(records []Record) []Record {
	for i, r := range records {
		if old := j.index.entities[r.Key].data; r.Data != nil && bytes.Contains(old, schemaMark) {
			records[i].Data = withUnknown(r.Key[0], old, r.Data)
		}
	}
	return records
}

// withUnknown returns data with the unknown fields of old if a later version wrote old, and
// otherwise data unchanged.
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
		merged = mergeUnknownSpec(old, merged)
	}
	return merged
}

// mergeUnknown adds the unknown fields of one object to another. If either can't be decoded it
// returns data unchanged: a field that can't be kept must not stop the commit.
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

// mergeUnknownSpec does the same for the specification within a job's record.
func mergeUnknownSpec(old, data json.RawMessage) json.RawMessage {
	var oldFields, fields map[string]json.RawMessage
	if json.Unmarshal(old, &oldFields) != nil || json.Unmarshal(data, &fields) != nil {
		return data
	}
	if oldFields[specField] == nil || fields[specField] == nil {
		return data
	}
	fields[specField] = mergeUnknown(oldFields[specField], fields[specField], knownSpecFields)
	merged, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return merged
}
