package storage

import (
	"errors"
	"slices"
)

// errTooFull says that what was to be moved shrank less than expected.
var errTooFull = errors.New("chunk too full")

// compaction packs the living records of old chunks into a transaction, behind what it
// writes anyway, within the service's limits.
type compaction struct {
	journal     *Journal
	chunks      []chunk
	writing     map[string]bool // keys that the transaction writes
	room        int             // left in the last chunk
	bytes       int             // of all chunks
	ops         int             // puts and deletions
	changesLeft int             // changes that may be added
	changed     int             // chunks from here on have to be encoded
}

func (j *Journal) compaction(chunks []chunk, changesLeft int) *compaction {
	m := &compaction{journal: j, chunks: slices.Clone(chunks), writing: make(map[string]bool), ops: len(chunks), changesLeft: changesLeft, changed: len(chunks) - 1}
	for _, c := range chunks {
		m.bytes += len(c.data)
		for _, r := range c.records {
			m.writing[r.Key] = true
		}
	}
	last := &m.chunks[len(chunks)-1] // ours: the caller may go on without what is moved
	last.records = last.records[:len(last.records):len(last.records)]
	m.room = j.rawRoom(j.compactionRatio) * (j.room() - len(last.data)) / j.room()
	return m
}

// mayAdd takes one more change from what is left, unless there is too little.
func (m *compaction) mayAdd(changes int) bool {
	return m.changesLeft >= changes && m.ops+changes <= m.journal.limits.TxnOps
}

func (m *compaction) delete() bool {
	if !m.mayAdd(1) {
		return false
	}
	m.changesLeft--
	m.ops++
	return true
}

// moveAll moves records as far as that goes, and tells whether it was all.
func (m *compaction) moveAll(records []Record) bool {
	for _, r := range records {
		if !m.journal.mayWrite(PlainWherePossible) && !m.journal.fits(r) {
			return false // it would go in fragments
		}
		if !m.move(m.journal.fragmentLarge([]Record{r})) {
			return false
		}
		m.writing[r.Key] = true
	}
	return true
}

// move moves one record, in its fragments: all of them or none.
func (m *compaction) move(fragments []Record) bool {
	puts, size, room := 0, 0, m.room
	for _, p := range fragments {
		n := p.Size()
		if n > room {
			puts, room = puts+1, m.journal.rawRoom(m.journal.compactionRatio)-2
		}
		room -= n
		size += n
	}
	// A deletion must follow for it to be worth anything, if not now.
	if puts > 0 && !m.mayAdd(puts) || m.bytes+size > txnBytes {
		return false
	}
	for _, p := range fragments {
		n := p.Size()
		if n > m.room {
			m.chunks = append(m.chunks[:len(m.chunks):len(m.chunks)], chunk{})
			m.room = m.journal.rawRoom(m.journal.compactionRatio) - 2
		}
		m.room -= n
		last := &m.chunks[len(m.chunks)-1]
		last.records = append(last.records, p)
	}
	m.ops, m.changesLeft, m.bytes = m.ops+puts, m.changesLeft-puts, m.bytes+size
	return true
}

// encode returns the chunks with what was added.
func (m *compaction) encode() ([]chunk, error) {
	for i := m.changed; i < len(m.chunks); i++ {
		data, err := m.journal.encode(m.chunks[i].records)
		if err != nil {
			return nil, err
		}
		if len(data) > m.journal.limits.ValueBytes {
			return nil, errTooFull
		}
		m.chunks[i].data = data
	}
	return m.chunks, nil
}
