package storage

import (
	"encoding/json"
	"slices"
	"strings"
)

// journalIndex is an index of the stored chunks. It holds the latest state of each entity, by record
// key, with the number of the chunk that stores this state. Only the journal's goroutine may use it.
type journalIndex struct {
	entities  map[string]entity
	liveBytes int            // total size of the keys and the data of all entities
	chunks    []indexedChunk // oldest first
	fragments fragmentAssembler
}

// entity is the latest state of an entity, such as a job or a machine, and its place in the journal.
type entity struct {
	chunkNumber uint64          // number of the chunk that holds the record or its first fragment
	data        json.RawMessage // nil: the entity is removed
}

// indexedChunk describes a stored chunk of the journal.
type indexedChunk struct {
	number   uint64
	keys     []string // keys of the whole records and of the first fragments in the chunk
	nonPlain bool     // not plain, that is, compressed or with fragments: see Encoding
}

func newJournalIndex() journalIndex {
	return journalIndex{entities: make(map[string]entity), fragments: make(fragmentAssembler)}
}

// addChunk adds a chunk that is newer than all chunks of the index. Its records replace the records
// with the same keys in the index.
func (x *journalIndex) addChunk(number uint64, records []Record, nonPlain bool) {
	c := indexedChunk{number: number, nonPlain: nonPlain}
	for _, r := range records {
		if r.fragment == nil || r.fragment.index == 0 {
			c.keys = append(c.keys, r.Key)
		}
		if r.fragment == nil {
			x.put(r.Key, entity{chunkNumber: number, data: r.Data})
		} else if e, complete := x.fragments.add(number, r); complete {
			x.put(r.Key, e)
		}
	}
	x.chunks = append(x.chunks, c)
}

// put sets the latest state of the entity with the given key.
func (x *journalIndex) put(key string, e entity) {
	if old, ok := x.entities[key]; ok {
		x.liveBytes -= len(old.data) + len(key)
	}
	x.entities[key] = e
	x.liveBytes += len(e.data) + len(key)
}

// removeOldest removes the n oldest chunks, and the entities whose latest state is in them.
func (x *journalIndex) removeOldest(n int) {
	for _, c := range x.chunks[:n] {
		for _, key := range c.keys {
			if e, ok := x.entities[key]; ok && e.chunkNumber == c.number {
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

// liveRecords returns the live records of x.chunks[n]: those that are the latest record of their key
// and don't remove the entity. It omits the keys in rewritten, whose records are being written again.
func (x *journalIndex) liveRecords(n int, rewritten map[string]bool) []Record {
	c := &x.chunks[n]
	var records []Record
	for _, key := range c.keys {
		if e, ok := x.entities[key]; ok && e.chunkNumber == c.number && e.data != nil && !rewritten[key] {
			records = append(records, Record{Key: key, Data: e.data})
		}
	}
	return records
}

// hasRecordLargerThan reports whether any entity's record may take more than the given number of
// bytes in a plain chunk.
func (x *journalIndex) hasRecordLargerThan(bytes int) bool {
	for key, e := range x.entities {
		if r := (Record{Key: key, Data: e.data}); r.Size() > bytes {
			return true
		}
	}
	return false
}

// nonPlainChunkCount returns how many chunks are not plain.
func (x *journalIndex) nonPlainChunkCount() int {
	n := 0
	for i := range x.chunks {
		if x.chunks[i].nonPlain {
			n++
		}
	}
	return n
}

// chunksUntilPlain returns how many of the oldest chunks have to be deleted so that all remaining
// chunks are plain.
func (x *journalIndex) chunksUntilPlain() int {
	for i, chunk := range slices.Backward(x.chunks) {
		if chunk.nonPlain {
			return i + 1
		}
	}
	return 0
}
