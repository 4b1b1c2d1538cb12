package storage

import (
	"encoding/json"
	"slices"
	"strings"
)

// journalIndex knows the latest state of each entity and which chunk holds it. It belongs to
// the journal's goroutine.
type journalIndex struct {
	entities  map[string]entity
	liveBytes int            // of the keys and the data of all entities
	chunks    []indexedChunk // the oldest first
	fragments fragmentAssembler
}

// entity is the latest state of an entity.
type entity struct {
	chunk uint64          // the number of the chunk that holds it, or its first fragment
	data  json.RawMessage // nil: removed
}

// indexedChunk is a chunk of the journal that is stored.
type indexedChunk struct {
	number  uint64
	keys    []string // of the records that are in the chunk, or begin there
	encoded bool     // not plain: see Encoding
}

func newJournalIndex() journalIndex {
	return journalIndex{entities: make(map[string]entity), fragments: make(fragmentAssembler)}
}

// addChunk adds the newest chunk. Its records replace those of older chunks.
func (x *journalIndex) addChunk(number uint64, records []Record, encoded bool) {
	c := indexedChunk{number: number, encoded: encoded}
	for _, r := range records {
		if r.fragment == nil || r.fragment.index == 0 {
			c.keys = append(c.keys, r.Key)
		}
		if r.fragment == nil {
			x.put(r.Key, entity{chunk: number, data: r.Data})
		} else if e, complete := x.fragments.add(number, r); complete {
			x.put(r.Key, e)
		}
	}
	x.chunks = append(x.chunks, c)
}

func (x *journalIndex) put(key string, e entity) {
	if old, ok := x.entities[key]; ok {
		x.liveBytes -= len(old.data) + len(key)
	}
	x.entities[key] = e
	x.liveBytes += len(e.data) + len(key)
}

// removeOldest removes the n oldest chunks, with the entities whose latest state they hold.
func (x *journalIndex) removeOldest(n int) {
	for _, c := range x.chunks[:n] {
		for _, key := range c.keys {
			if e, ok := x.entities[key]; ok && e.chunk == c.number {
				x.liveBytes -= len(e.data) + len(key)
				delete(x.entities, key)
			}
		}
	}
	x.chunks = slices.Clone(x.chunks[n:])
}

// records returns the records of all entities that aren't removed, in key order.
func (x *journalIndex) records() []Record {
	records := make([]Record, 0, len(x.entities))
	for key, e := range x.entities {
		if e.data != nil {
			records = append(records, Record{Key: key, Data: e.data})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// liveRecords returns the records whose latest state is in the nth oldest chunk, except those
// that are rewritten anyway.
func (x *journalIndex) liveRecords(n int, rewritten map[string]bool) []Record {
	c := &x.chunks[n]
	var records []Record
	for _, key := range c.keys {
		if e, ok := x.entities[key]; ok && e.chunk == c.number && e.data != nil && !rewritten[key] {
			records = append(records, Record{Key: key, Data: e.data})
		}
	}
	return records
}

// anyLargerThan reports whether some entity's record takes more bytes in a chunk.
func (x *journalIndex) anyLargerThan(bytes int) bool {
	for key, e := range x.entities {
		if r := (Record{Key: key, Data: e.data}); r.Size() > bytes {
			return true
		}
	}
	return false
}

// encodedChunks returns how many chunks aren't plain.
func (x *journalIndex) encodedChunks() int {
	n := 0
	for i := range x.chunks {
		if x.chunks[i].encoded {
			n++
		}
	}
	return n
}

// chunksUntilPlain returns how many of the oldest chunks have to be deleted until all are plain.
func (x *journalIndex) chunksUntilPlain() int {
	for i, chunk := range slices.Backward(x.chunks) {
		if chunk.encoded {
			return i + 1
		}
	}
	return 0
}
