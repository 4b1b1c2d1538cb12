package storage

import (
	"encoding/json"
	"fmt"
)

// A record that is too large for one chunk is written as consecutive fragments, each of which
// fits into one chunk. The record takes effect once its last fragment is written, and the journal
// index assigns the record to the chunk of the first fragment. If the last fragment is missing, the
// commit of the record wasn't finished. If the first fragment is missing, compaction has deleted
// its chunk. The reader ignores the remaining fragments in both cases.
//
// The first versions of the program can't read fragments: see Encoding.

// fragment is one part of a record's data.
type fragment struct {
	index, count int
	tag          uint64 // shared by the fragments of one split record; every split uses another tag
	data         []byte
}

const (
	// fragmentOverheadBytes is the maximum size of an encoded fragment without its key and data.
	fragmentOverheadBytes = 64
	// minFragmentDataBytes is the minimum size of a fragment's data. A long key may leave less
	// room than that, or none, but its record must be split too.
	minFragmentDataBytes = 16
	// fragmentFields is the number of array elements of an encoded fragment: key, data, index,
	// count and tag.
	fragmentFields = 5
)

// splitRecord splits a record into fragments. Each takes at most maxBytes when encoded, unless the
// record's key is so long that minFragmentDataBytes applies.
func splitRecord(r Record, maxBytes int, tag uint64) []Record {
	dataBytes := max(minFragmentDataBytes, (maxBytes-fragmentOverheadBytes-len(r.Key))*3/4) // base64 adds a third
	count := (len(r.Data) + dataBytes - 1) / dataBytes
	records := make([]Record, 0, count)
	for i := range count {
		data := r.Data[i*dataBytes : min(len(r.Data), (i+1)*dataBytes)]
		records = append(records, Record{Key: r.Key, fragment: &fragment{i, count, tag, data}})
	}
	return records
}

// size returns an upper bound of the fragment's encoded size without its key.
func (f *fragment) size() int { return fragmentOverheadBytes + (len(f.data)+2)/3*4 }

// marshal encodes the fragment. key is the key of its record.
func (f *fragment) marshal(key string) ([]byte, error) {
	return json.Marshal([]any{key, f.data, f.index, f.count, f.tag})
}

// unmarshalFragment decodes a fragment from the array elements of an encoded fragment. The first
// element is the record's key, which unmarshalFragment skips.
func unmarshalFragment(fields []json.RawMessage) (*fragment, error) {
	var f fragment
	for i, target := range []any{&f.data, &f.index, &f.count, &f.tag} {
		if err := json.Unmarshal(fields[i+1], target); err != nil {
			return nil, fmt.Errorf("decode record fragment: %w", err)
		}
	}
	if f.index < 0 || f.index >= f.count {
		return nil, fmt.Errorf("fragment index %d is out of range for %d fragments", f.index, f.count)
	}
	return &f, nil
}

// fragmentAssembler joins fragments into records. It holds the incomplete records by key.
type fragmentAssembler map[string]*partialRecord

// partialRecord is a record of which not all fragments have been read or written yet.
type partialRecord struct {
	firstChunk uint64 // number of the chunk that holds the first fragment
	tag        uint64
	nextIndex  int // index of the fragment that must come next
	data       []byte
}

// add adds a fragment. chunk is the number of the chunk that holds the fragment. Once all fragments
// of the record have been added, add returns the record's data and the number of the chunk that
// holds the first fragment. add ignores a fragment that is out of order or whose tag differs from
// that of the first fragment.
func (a fragmentAssembler) add(chunk uint64, r Record) (e entity, complete bool) {
	f := r.fragment
	if f.index == 0 {
		a[r.Key] = &partialRecord{firstChunk: chunk, tag: f.tag}
	}
	partial := a[r.Key]
	if partial == nil || partial.tag != f.tag || partial.nextIndex != f.index {
		return entity{}, false
	}
	partial.nextIndex++
	partial.data = append(partial.data, f.data...)
	if partial.nextIndex < f.count {
		return entity{}, false
	}
	delete(a, r.Key)
	return entity{chunkNumber: partial.firstChunk, data: partial.data}, true
}
