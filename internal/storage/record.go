package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// Record is the durable state of one entity, such as a job or a machine, under its key.
type Record struct {
	Key      string
	Data     json.RawMessage // nil: the entity is removed
	fragment *fragment       // set if the record holds only one fragment of its data; nil: Data holds all data
}

// NewRecord returns a record of the JSON encoding of data under the key. A record with nil data
// removes the entity.
func NewRecord(key string, data any) (Record, error) {
	if data == nil {
		return Record{Key: key}, nil
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return Record{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return Record{Key: key, Data: raw}, nil
}

// recordOverheadBytes is the maximum size of an encoded record without its key and data.
const recordOverheadBytes = 8

// Size returns an upper bound of the record's encoded size in a plain chunk.
func (r *Record) Size() int {
	if r.fragment != nil {
		return len(r.Key) + r.fragment.size()
	}
	return len(r.Key) + len(r.Data) + recordOverheadBytes
}

// wholeRecordFields is the number of array elements of an encoded record with all its data. The
// record of a removed entity has one element, the key, and a fragment has fragmentFields.
const wholeRecordFields = 2

// MarshalJSON encodes a record as the array [key, data], a removed entity as [key] and a
// fragment as [key, data, index, count, tag].
func (r Record) MarshalJSON() ([]byte, error) {
	if r.fragment != nil {
		return r.fragment.marshal(r.Key)
	}
	if r.Data == nil {
		return json.Marshal([]string{r.Key})
	}
	return json.Marshal([]any{r.Key, r.Data})
}

// UnmarshalJSON decodes the array that MarshalJSON encodes.
func (r *Record) UnmarshalJSON(b []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return err
	}
	var err error
	*r, err = decodeRecord(fields)
	return err
}

// decodeRecord decodes the array elements of a record: the key, followed by the data or by the
// fields of a fragment.
func decodeRecord(fields []json.RawMessage) (Record, error) {
	if len(fields) == 0 || len(fields) > wholeRecordFields && len(fields) != fragmentFields {
		return Record{}, fmt.Errorf("record has %d fields", len(fields))
	}
	var r Record
	var err error
	if r.Key, err = decodeKey(fields[0]); err != nil {
		return Record{}, err
	}
	switch len(fields) {
	case wholeRecordFields:
		r.Data = fields[1]
	case fragmentFields:
		if r.fragment, err = unmarshalFragment(fields); err != nil {
			return Record{}, err
		}
	}
	return r, nil
}

// decodeKey decodes a record's key. It avoids the JSON decoder for keys without escapes, which
// nearly all keys are.
func decodeKey(raw json.RawMessage) (key string, err error) {
	if len(raw) >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 && utf8.Valid(raw) {
		return string(raw[1 : len(raw)-1]), nil
	}
	err = json.Unmarshal(raw, &key)
	return key, err
}

// parseRecords decodes the records of an uncompressed chunk. A failover has to read all chunks,
// and decoding the records of a chunk in a single call costs less than half of calling
// UnmarshalJSON for each record.
func parseRecords(plain []byte) ([]Record, error) {
	var all [][]json.RawMessage
	if err := json.Unmarshal(plain, &all); err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(all))
	for _, fields := range all {
		r, err := decodeRecord(fields)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}
