package storage

import (
	"bytes"
	"encoding/json"

	"sagevale/internal/upgrade"
)

// Records may contain fields that this version of the program doesn't know, because a later version
// wrote them. The later version also stores its version number in the record, in the field
// schemaField. When this version rewrites a record with schemaField, it keeps the unknown fields of
// the record itself and of a job's specification. Records without schemaField have no unknown
// fields, so they are not searched for such fields.
//
// Preserving unknown fields doesn't suffice for state that earlier versions must not ignore. Such
// state needs a feature gate: while the gate is in use, versions that don't support the gate can't
// lead.

const (
	// schemaField is the field in which a version stores its number when it writes fields that
	// earlier versions don't know.
	schemaField = "v"
	// specField is the field of a job's record that holds its specification.
	specField = "s"
)

// schemaFieldPrefix is the JSON text that every record with schemaField contains.
var schemaFieldPrefix = []byte(`"` + schemaField + `":`)

// knownFields maps the kinds of records to the JSON fields that this version knows.
var knownFields = map[byte][]string{
	KindJob:      upgrade.FieldNames(JobRecord{}),
	KindTaskPage: upgrade.FieldNames(TaskPageRecord{}),
	KindMachine:  upgrade.FieldNames(MachineRecord{}),
	KindLaunch:   upgrade.FieldNames(LaunchRecord{}),
	KindFleet:    upgrade.FieldNames(FleetRecord{}),
}

// knownSpecFields lists the JSON fields of a job's specification that this version knows.
var knownSpecFields = upgrade.FieldNames(Spec{})

// keepUnknownFields copies unknown fields from stored records to the new records with the same keys.
// It copies only fields that a later version has written.
func (j *Journal) keepUnknownFields(records []Record) []Record {
	for i, r := range records {
		if old := j.index.entities[r.Key].data; r.Data != nil && bytes.Contains(old, schemaFieldPrefix) {
			records[i].Data = withUnknownFields(r.Key[0], old, r.Data)
		}
	}
	return records
}

// withUnknownFields adds the unknown fields of the stored record to the new record, and returns the
// result. old is the JSON object of the stored record, and data that of the new record. If old was
// not written by a later version, withUnknownFields returns data unchanged.
func withUnknownFields(kind byte, old, data json.RawMessage) json.RawMessage {
	var mark struct {
		Schema uint32 `json:"v"`
	}
	known := knownFields[kind]
	if known == nil || json.Unmarshal(old, &mark) != nil || mark.Schema <= uint32(upgrade.Current) {
		return data
	}
	merged := mergeUnknownFields(old, data, known)
	if kind == KindJob {
		merged = mergeUnknownSpecFields(old, merged)
	}
	return merged
}

// mergeUnknownFields adds those fields of the JSON object old that aren't in known to the JSON object
// data, and returns the result. If one of the two objects can't be decoded, it returns data
// unchanged, because a field that can't be kept must not prevent the commit.
func mergeUnknownFields(old, data json.RawMessage, known []string) json.RawMessage {
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

// mergeUnknownSpecFields adds the unknown fields of a stored job's specification to the specification
// of the job's new record, and returns the new record. old and data are the JSON objects of the
// stored and of the new record.
func mergeUnknownSpecFields(old, data json.RawMessage) json.RawMessage {
	var oldFields, fields map[string]json.RawMessage
	if json.Unmarshal(old, &oldFields) != nil || json.Unmarshal(data, &fields) != nil {
		return data
	}
	if oldFields[specField] == nil || fields[specField] == nil {
		return data
	}
	fields[specField] = mergeUnknownFields(oldFields[specField], fields[specField], knownSpecFields)
	merged, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return merged
}
