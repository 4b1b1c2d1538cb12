package storage

import (
	"encoding/json"
	"fmt"
)

// A record that is too large for one chunk is written as fragments, in order, each in a chunk
// of its own. The record is in force once its last fragment is written, and belongs to the
// chunk of its first. Fragments whose first or last one is missing were left by an unfinished
// commit or by the compaction of older chunks, and are ignored.
//
// The first versions can't read fragments: see Encoding.

// fragment is one part of a record's data.
type fragment struct {
	index, count int
	tag          uint64 // the same in the fragments of one write of one record, and in no others
	data         []byte
}

const (
	// fragmentFrameBytes is at most what a fragment takes in a chunk besides its key and data.
	fragmentFrameBytes = 64
	// leastFragmentBytes is the least data of a fragment, so that any record can be split.
	leastFragmentBytes = 16
	// fragmentFields is the number of fields of an encoded record with a fragment.
	fragmentFields = 5
)

// split cuts a record into fragments that take at most limit bytes each in a chunk.
func split(r Record, limit int, tag uint64) []Record {
	each := max(leastFragmentBytes, (limit-fragmentFrameBytes-len(r.Key))*3/4) // base64 takes a third more
	count := (len(r.Data) + each - 1) / each
	records := make([]Record, 0, count)
	for i := range count {
		data := r.Data[i*each : min(len(r.Data), (i+1)*each)]
		records = append(records, Record{Key: r.Key, fragment: &fragment{i, count, tag, data}})
	}
	return records
}

// size returns an upper bound of the bytes that the fragment takes in a chunk besides its key.
func (f *fragment) size() int { return fragmentFrameBytes + (len(f.data)+2)/3*4 }

// marshal encodes the record of the fragment.
func (f *fragment) marshal(key string) ([]byte, error) {
	return json.Marshal([]any{key, f.data, f.index, f.count, f.tag})
}

// unmarshalFragment decodes the fields behind the key.
func unmarshalFragment(fields []json.RawMessage) (*fragment, error) {
	var f fragment
	for i, to := range []any{&f.data, &f.index, &f.count, &f.tag} {
		if err := json.Unmarshal(fields[i+1], to); err != nil {
			return nil, fmt.Errorf("fragment of a record: %w", err)
		}
	}
	if f.index < 0 || f.index >= f.count {
		return nil, fmt.Errorf("fragment %d of %d", f.index, f.count)
	}
	return &f, nil
}

// fragmentAssembler joins fragments into records, by key.
type fragmentAssembler map[string]*partialRecord

// partialRecord is a record of which not all fragments have been seen.
type partialRecord struct {
	firstChunk uint64 // the chunk of the first fragment
	tag        uint64
	next       int // index of the next fragment
	data       []byte
}

// add adds a record's fragment from a chunk. Once the record is complete it returns its data
// and the chunk of its first fragment.
func (a fragmentAssembler) add(chunk uint64, r Record) (e entity, complete bool) {
	f := r.fragment
	if f.index == 0 {
		a[r.Key] = &partialRecord{firstChunk: chunk, tag: f.tag}
	}
	partial := a[r.Key]
	if partial == nil || partial.tag != f.tag || partial.next != f.index {
		return entity{}, false
	}
	partial.next++
	partial.data = append(partial.data, f.data...)
	if partial.next < f.count {
		return entity{}, false
	}
	delete(a, r.Key)
	return entity{chunk: partial.firstChunk, data: partial.data}, true
}
