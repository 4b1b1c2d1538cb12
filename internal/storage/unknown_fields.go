package storage

import (
	"bytes"
	"encoding/json"

	"sagevale/internal/upgrade"
)

// A later version of the program may write fields into records that this version doesn't know.
// The later version stores its number in the field schemaField of such a record. When this
// version rewrites a record with that field, it keeps the unknown fields of the record itself and
// of a job's specification. Records without schemaField have no unknown fields, so they are not
// searched.
//
// State that an earlier version must not ignore needs a feature gate instead: while the gate is in
// use, earlier versions can't lead.

const (
	// schemaField is the field of a record that holds the number of the later version that wrote
	// unknown fields into it.
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

// keepUnknownFields adds the unknown fields of the stored records, which later versions wrote, to
// the new records of the same keys.
func (j *Journal) keepUnknownFields(records []Record) []Record {
	for i, r := range records {
		if old := j.index.entities[r.Key].data; r.Data != nil && bytes.Contains(old, schemaFieldPrefix) {
			records[i].Data = withUnknownFields(r.Key[0], old, r.Data)
		}
	}
	return records
}

// withUnknownFields returns data with the unknown fields of old added if a later version wrote
// old. Otherwise it returns data unchanged.
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

// mergeUnknownFields adds the unknown fields of the JSON object old to the object data. If either
// can't be decoded, it returns data unchanged, because a field that can't be kept must not
// prevent the commit.
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

// mergeUnknownSpecFields adds the unknown fields of the specification in the job record old to
// the specification in the job record data.
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
