package storage

import (
	"errors"
	"slices"
)

// Old chunks are compacted, the oldest first: a commit writes the live records of a chunk
// again and deletes it in the same transaction.

const (
	// compactionFactor and compactionSlack: chunks are compacted when there are more than the
	// factor times what the live records need, plus the slack.
	compactionFactor = 2
	compactionSlack  = 24
	// compactionBacklog is how many excess chunks noticeably delay a failover. Beyond it each
	// commit spends at least forcedCompactionChanges on compaction, though that delays the next.
	compactionBacklog = 4 * compactionSlack
	// forcedCompactionChanges are enough to write a new chunk and to delete an old one.
	forcedCompactionChanges = 2
)

// errChunkTooLarge means that records have shrunk less than expected.
var errChunkTooLarge = errors.New("chunk too full")

// compact adds to the chunks of a transaction the live records of the oldest chunks, and
// returns how many of those may be deleted in the same transaction. If the live records of an
// old chunk take more than the budget or the limits allow, it adds some of them.
func (j *Journal) compact(chunks []chunk) ([]chunk, int) {
	excess, changes := j.compactionBudget()
	if excess <= 0 || changes <= 0 {
		return chunks, 0
	}
	c := newCompaction(j, chunks, changes)
	deleted := c.moveOldest(min(excess, len(j.index.chunks)-1))
	compacted, err := c.encode()
	if err != nil {
		j.encoder.compactionRatio.lower()
		return chunks, 0
	}
	if deleted > 0 {
		j.encoder.compactionRatio.raise(33, 32)
	}
	return compacted, deleted
}

// compactionBudget returns how many chunks are in excess, and how many changes the next
// transaction may spend on them.
func (j *Journal) compactionBudget() (excess, changes int) {
	needed := j.index.liveBytes/j.encoder.expectedBytes(j.encoder.compactionRatio) + 1
	excess = len(j.index.chunks) - compactionFactor*needed - compactionSlack
	changes = int(j.limiter.Tokens()) / 2
	migrating := j.canMigrate()
	if migrating {
		excess = max(excess, j.index.chunksUntilPlain())
	}
	if migrating || excess > compactionBacklog {
		changes = max(changes, forcedCompactionChanges)
	}
	return excess, changes
}

// compaction adds the live records of old chunks to a transaction, within its limits.
type compaction struct {
	journal      *Journal
	chunks       []chunk
	firstChanged int             // chunks from here on have to be encoded
	written      map[string]bool // keys that the transaction writes
	bytes        int             // of all chunks
	ops          int             // puts and deletions
	changesLeft  int             // changes that may be added
	bytesLeft    int             // bytes of records that are expected to fit into the last chunk
}

func newCompaction(j *Journal, chunks []chunk, changes int) *compaction {
	c := &compaction{
		journal: j, chunks: slices.Clone(chunks), firstChanged: len(chunks) - 1,
		written: make(map[string]bool), ops: len(chunks), changesLeft: changes,
	}
	for _, written := range chunks {
		c.bytes += len(written.data)
		for _, r := range written.records {
			c.written[r.Key] = true
		}
	}
	last := &c.chunks[len(chunks)-1]
	last.records = slices.Clip(last.records) // the caller may go on with its own chunks
	c.bytesLeft = c.chunkBytes() * (j.encoder.capacity - len(last.data)) / j.encoder.capacity
	return c
}

// chunkBytes returns how many bytes of records are expected to fit into an empty chunk.
func (c *compaction) chunkBytes() int {
	return c.journal.encoder.expectedBytes(c.journal.encoder.compactionRatio)
}

// moveOldest moves up to most of the oldest chunks, and returns how many can be deleted.
func (c *compaction) moveOldest(most int) (deleted int) {
	for deleted < most {
		live := c.journal.index.liveRecords(deleted, c.written)
		if !c.moveAll(live) || !c.addDeletion() {
			break
		}
		deleted++
	}
	return deleted
}

// hasChanges reports whether that many changes may be added.
func (c *compaction) hasChanges(n int) bool {
	return c.changesLeft >= n && c.ops+n <= c.journal.limits.TxnOps
}

// addDeletion adds the deletion of a chunk, and reports whether it could.
func (c *compaction) addDeletion() bool {
	if !c.hasChanges(1) {
		return false
	}
	c.changesLeft--
	c.ops++
	return true
}

// moveAll adds as many of the records as possible, and reports whether these are all.
func (c *compaction) moveAll(records []Record) bool {
	for _, r := range records {
		if !c.journal.allows(PlainWherePossible) && !c.journal.encoder.fits(r) {
			return false // it would have to be split into fragments
		}
		if !c.move(c.journal.splitLarge([]Record{r})) {
			return false
		}
		c.written[r.Key] = true
	}
	return true
}

// move adds all fragments of one record, and reports whether it could; otherwise it adds none.
func (c *compaction) move(fragments []Record) bool {
	newChunks, bytes := c.need(fragments)
	if newChunks > 0 && !c.hasChanges(newChunks) || c.bytes+bytes > txnBytes {
		return false
	}
	for _, f := range fragments {
		c.add(f)
	}
	c.ops += newChunks
	c.changesLeft -= newChunks
	c.bytes += bytes
	return true
}

// need returns how many new chunks and how many bytes the fragments of a record take.
func (c *compaction) need(fragments []Record) (newChunks, bytes int) {
	left := c.bytesLeft
	for _, f := range fragments {
		size := f.Size()
		if size > left {
			newChunks++
			left = c.chunkBytes() - arrayBytes
		}
		left -= size
		bytes += size
	}
	return newChunks, bytes
}

// add adds one fragment to the last chunk, or to a new one.
func (c *compaction) add(f Record) {
	size := f.Size()
	if size > c.bytesLeft {
		c.chunks = append(c.chunks, chunk{})
		c.bytesLeft = c.chunkBytes() - arrayBytes
	}
	c.bytesLeft -= size
	last := &c.chunks[len(c.chunks)-1]
	last.records = append(last.records, f)
}

// encode returns the chunks with what was added to them.
func (c *compaction) encode() ([]chunk, error) {
	for i := c.firstChanged; i < len(c.chunks); i++ {
		data, err := c.journal.encoder.encode(c.chunks[i].records)
		if err != nil {
			return nil, err
		}
		if len(data) > c.journal.limits.ValueBytes {
			return nil, errChunkTooLarge
		}
		c.chunks[i].data = data
	}
	return c.chunks, nil
}
