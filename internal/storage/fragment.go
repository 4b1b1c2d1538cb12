package storage

import (
	"encoding/json"
	"fmt"
)

// A record that is too large for a value is written in fragments, each in a chunk
// of its own, in order. It stands once its last fragment does, in the chunk of its
// first: fragments without their first or last are what an unfinished commit or
// the compaction of older chunks left, and count for nothing.
//
// Versions before this one can't read fragments. They are written only where the state
// service has called a whole record malformed, and that it does only when no such
// version is left.

// fragment is one part of a record's data.
type fragment struct {
	index, of int
	tag       uint64 // tells the fragments of one record's one writing from all others
	data      []byte
}

// fragmentFrame is what a fragment takes in a chunk beside its key and its data.
const fragmentFrame = 64

// split cuts a record into fragments of at most limit bytes each.
func split(r Record, limit int, tag uint64) []Record {
	room := max(16, (limit-fragmentFrame-len(r.Key))*3/4) // base64 takes a third more
	of := (len(r.Data) + room - 1) / room
	out := make([]Record, 0, of)
	for i := range of {
		out = append(out, Record{Key: r.Key, fragment: &fragment{i, of, tag, r.Data[i*room : min(len(r.Data), (i+1)*room)]}})
	}
	return out
}

func (p *fragment) marshal(key string) ([]byte, error) {
	return json.Marshal([]any{key, p.data, p.index, p.of, p.tag})
}

// fragmentFields is how many fields a fragment's record has.
const fragmentFields = 5

func unmarshalFragment(fields []json.RawMessage) (*fragment, error) {
	var p fragment
	for i, to := range []any{&p.data, &p.index, &p.of, &p.tag} {
		if err := json.Unmarshal(fields[i+1], to); err != nil {
			return nil, fmt.Errorf("fragment of a record: %w", err)
		}
	}
	if p.index < 0 || p.index >= p.of {
		return nil, fmt.Errorf("fragment %d of %d", p.index, p.of)
	}
	return &p, nil
}

// partialRecord is what has been read of a record in fragments.
type partialRecord struct {
	chunk uint64 // of the first fragment
	tag   uint64
	next  int
	data  []byte
}

// addFragment takes in a fragment, and returns the record once it is whole.
func (j *Journal) addFragment(seq uint64, r Record) (whole bool, chunk uint64, data []byte) {
	p := r.fragment
	g := j.partial[r.Key]
	if p.index == 0 {
		g = &partialRecord{chunk: seq, tag: p.tag}
		j.partial[r.Key] = g
	}
	if g == nil || g.tag != p.tag || g.next != p.index {
		return false, 0, nil
	}
	g.next++
	g.data = append(g.data, p.data...)
	if g.next < p.of {
		return false, 0, nil
	}
	delete(j.partial, r.Key)
	return true, g.chunk, g.data
}
