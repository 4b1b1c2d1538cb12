package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// Record is the latest durable state of one entity.
type Record struct {
	Key      string
	Data     json.RawMessage // nil: the entity is removed
	fragment *fragment       // a part of the data instead of all of it; nil: Data holds all
}

// NewRecord encodes data under key; nil data removes the entity.
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

// recordFrameBytes is at most what a whole record takes in a chunk besides its key and data.
const recordFrameBytes = 8

// Size returns an upper bound of the bytes that the record takes in a chunk.
func (r *Record) Size() int {
	if r.fragment != nil {
		return len(r.Key) + r.fragment.size()
	}
	return len(r.Key) + len(r.Data) + recordFrameBytes
}

// wholeRecordFields is the number of fields of an encoded record with all its data. That of a
// removed entity has only the key, and one with a fragment has fragmentFields.
const wholeRecordFields = 2

// MarshalJSON encodes a record as the compact array [key, data].
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
	*r, err = recordOf(fields)
	return err
}

// recordOf decodes a record's fields: the key, then its data or a fragment of it.
func recordOf(fields []json.RawMessage) (Record, error) {
	if len(fields) == 0 || len(fields) > wholeRecordFields && len(fields) != fragmentFields {
		return Record{}, fmt.Errorf("a record has %d parts", len(fields))
	}
	var r Record
	var err error
	if r.Key, err = parseKey(fields[0]); err != nil {
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

// parseKey decodes a record's key. Nearly all keys have no escapes, so that they need no JSON
// decoder.
func parseKey(raw json.RawMessage) (key string, err error) {
	if len(raw) >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 && utf8.Valid(raw) {
		return string(raw[1 : len(raw)-1]), nil
	}
	err = json.Unmarshal(raw, &key)
	return key, err
}

// parseRecords decodes the records of a chunk. A failover reads all chunks: decoding all
// records of one in a single call costs less than half of calling UnmarshalJSON for each.
func parseRecords(plain []byte) ([]Record, error) {
	var all [][]json.RawMessage
	if err := json.Unmarshal(plain, &all); err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(all))
	for _, fields := range all {
		r, err := recordOf(fields)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}
