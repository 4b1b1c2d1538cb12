package storage

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

type entity struct {
	chunk uint64
	data  json.RawMessage
}

type chunkInfo struct {
	seq  uint64
	keys []string

	encoded bool // not plain: see Encoding
}

func (j *Journal) readChunk(it Item) error {
	var seq uint64
	if _, err := fmt.Sscanf(strings.TrimPrefix(it.Key, chunkPrefix), "%d", &seq); err != nil {
		return fmt.Errorf("chunk key %q: %w", it.Key, err)
	}
	plain, err := decompress(it.Data)
	if err != nil {
		return fmt.Errorf("chunk %q: %w", it.Key, err)
	}
	records, err := parseRecords(plain)
	if err != nil {
		return fmt.Errorf("chunk %q: %w", it.Key, err)
	}
	j.note(seq, records, isEncoded(it.Data, records))
	j.next, j.last = seq+1, it.Version
	return nil
}

// note enters a chunk's records into the journal's index.
func (j *Journal) note(seq uint64, records []Record, encoded bool) {
	info := chunkInfo{seq: seq, encoded: encoded}
	for _, r := range records {
		chunk, data := seq, r.Data
		if r.fragment != nil {
			if r.fragment.index == 0 {
				info.keys = append(info.keys, r.Key)
			}
			var whole bool
			if whole, chunk, data = j.addFragment(seq, r); !whole {
				continue
			}
		} else {
			info.keys = append(info.keys, r.Key)
		}
		if old, ok := j.entities[r.Key]; ok {
			j.liveBytes -= len(old.data) + len(r.Key)
		}
		j.entities[r.Key] = entity{chunk: chunk, data: data}
		j.liveBytes += len(data) + len(r.Key)
	}
	j.chunks = append(j.chunks, info)
}

// Records returns the living records in key order.
func (j *Journal) Records() []Record {
	out := make([]Record, 0, len(j.entities))
	for k, e := range j.entities {
		if e.data != nil {
			out = append(out, Record{Key: k, Data: e.data})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out
}

// living lists what still lives in the nth oldest chunk and isn't being written.
func (j *Journal) living(n int, writing map[string]bool) []Record {
	var out []Record
	for _, k := range j.chunks[n].keys {
		if e, ok := j.entities[k]; ok && e.chunk == j.chunks[n].seq && e.data != nil && !writing[k] {
			out = append(out, Record{Key: k, Data: e.data})
		}
	}
	return out
}

// forget drops the n oldest chunks from the index.
func (j *Journal) forget(n int) {
	for _, c := range j.chunks[:n] {
		for _, k := range c.keys {
			if e, ok := j.entities[k]; ok && e.chunk == c.seq {
				j.liveBytes -= len(e.data) + len(k)
				delete(j.entities, k)
			}
		}
	}
	j.chunks = append([]chunkInfo(nil), j.chunks[n:]...)
}
