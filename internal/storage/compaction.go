package storage

import (
	"errors"
	"slices"
)

// Compaction removes old chunks, the oldest first. It is part of the transactions that write new
// chunks: such a transaction also writes the live records of an old chunk again, and deletes the
// old chunk. A record is live if it is the latest record of its key and isn't the removal of the key's
// entity.

const (
	// Chunks are compacted while the journal has more than compactionFactor*needed +
	// compactionSlackChunks chunks. needed is the number of chunks that the live records would fill.
	compactionFactor      = 2
	compactionSlackChunks = 24
	// forcedCompactionThreshold is the number of excess chunks above which compaction is forced.
	// Excess chunks are the chunks above the limit that compactionFactor and compactionSlackChunks
	// set. A new leader reads all chunks, so this many excess chunks noticeably delay a failover.
	forcedCompactionThreshold = 4 * compactionSlackChunks
	// forcedCompactionChanges is the number of changes that a commit may spend on compaction even if
	// this delays the next commit. It applies while compaction is forced and during a migration. A
	// change is one operation of a transaction. Two changes write one new chunk and delete one old
	// chunk.
	forcedCompactionChanges = 2
)

// errChunkTooLarge means that a chunk exceeds the value limit because its records compressed worse
// than expected.
var errChunkTooLarge = errors.New("chunk exceeds the value limit")

// compact adds the live records of the oldest chunks to the chunks of a transaction. It returns the
// new chunks of the transaction and how many of the oldest chunks the transaction may delete. If
// adding all live records of an old chunk would take more changes than compactionBudget allows, or
// exceed the limits of a transaction, compact adds only some of these records, and the old chunk
// isn't deleted yet.
func (j *Journal) compact(chunks []chunk) ([]chunk, int) {
	excess, changes := j.compactionBudget()
	if excess <= 0 || changes <= 0 {
		return chunks, 0
	}
	c := newCompaction(j, chunks, changes)
	deleted := c.moveOldestChunks(min(excess, len(j.index.chunks)-1))
	compacted, err := c.encodeChangedChunks()
	if err != nil {
		j.encoder.compactionRatio.lower()
		return chunks, 0
	}
	if deleted > 0 {
		j.encoder.compactionRatio.raise(33, 32)
	}
	return compacted, deleted
}

// compactionBudget returns how many chunks are in excess, and how many changes the next transaction may
// spend on compacting them. This is half of the changes that the rate limit allows now, but at least
// forcedCompactionChanges while compaction is forced or a migration is in progress. During a migration
// all chunks up to the newest one that isn't plain are in excess.
func (j *Journal) compactionBudget() (excess, changes int) {
	needed := j.index.liveBytes/j.encoder.expectedRecordBytes(j.encoder.compactionRatio) + 1
	excess = len(j.index.chunks) - compactionFactor*needed - compactionSlackChunks
	changes = int(j.changeLimiter.Tokens()) / 2
	migrating := j.canMigrate()
	if migrating {
		excess = max(excess, j.index.chunksUntilPlain())
	}
	if migrating || excess > forcedCompactionThreshold {
		changes = max(changes, forcedCompactionChanges)
	}
	return excess, changes
}

// compaction adds the live records of old chunks to a transaction. It stays within the limits of the
// key-value store, and within the number of changes that compactionBudget allows.
type compaction struct {
	journal            *Journal
	chunks             []chunk
	firstToEncode      int             // index of the first chunk that has to be encoded again
	writtenKeys        map[string]bool // keys of the records that the transaction writes
	totalBytes         int             // size of the commit's encoded chunks plus the size of the added records
	txnOps             int             // number of puts and deletions in the transaction
	changesLeft        int             // changes that compaction may still add
	lastChunkBytesLeft int             // bytes of further records that are expected to fit into the last chunk
}

func newCompaction(j *Journal, chunks []chunk, changes int) *compaction {
	c := &compaction{
		journal: j, chunks: slices.Clone(chunks), firstToEncode: len(chunks) - 1,
		writtenKeys: make(map[string]bool), txnOps: len(chunks), changesLeft: changes,
	}
	for _, written := range chunks {
		c.totalBytes += len(written.data)
		for _, r := range written.records {
			c.writtenKeys[r.Key] = true
		}
	}
	last := &c.chunks[len(chunks)-1]
	last.records = slices.Clip(last.records) // appends must not overwrite the caller's chunks
	c.lastChunkBytesLeft = c.expectedChunkBytes() * (j.encoder.capacity - len(last.data)) / j.encoder.capacity
	return c
}

// expectedChunkBytes returns how many bytes of records are expected to fit into an empty chunk.
func (c *compaction) expectedChunkBytes() int {
	return c.journal.encoder.expectedRecordBytes(c.journal.encoder.compactionRatio)
}

// moveOldestChunks adds the live records of the oldest chunks. limit is the maximum number of these
// chunks. It returns how many chunks can be deleted because all their live records have been added.
func (c *compaction) moveOldestChunks(limit int) (deleted int) {
	for deleted < limit {
		live := c.journal.index.liveRecords(deleted, c.writtenKeys)
		if !c.moveRecords(live) || !c.addDeletion() {
			break
		}
		deleted++
	}
	return deleted
}

// canAddChanges reports whether compaction may add n more changes, given changesLeft and the store's
// limit on the operations of one transaction.
func (c *compaction) canAddChanges(n int) bool {
	return c.changesLeft >= n && c.txnOps+n <= c.journal.limits.TxnOps
}

// addDeletion counts the deletion of a chunk as a change of the transaction, if canAddChanges allows
// one more change. It reports whether it has counted the deletion.
func (c *compaction) addDeletion() bool {
	if !c.canAddChanges(1) {
		return false
	}
	c.changesLeft--
	c.txnOps++
	return true
}

// moveRecords adds as many of the records as possible, and reports whether it added all of them.
func (c *compaction) moveRecords(records []Record) bool {
	for _, r := range records {
		if !c.journal.allows(PlainWherePossible) && !c.journal.encoder.fitsInChunk(r) {
			return false // the record would have to be split into fragments, which the encoding doesn't allow
		}
		if !c.moveRecord(c.journal.splitLargeRecords([]Record{r})) {
			return false
		}
		c.writtenKeys[r.Key] = true
	}
	return true
}

// moveRecord adds one record if canAddChanges and maxTxnBytes allow it, and reports whether it has
// done so. fragments holds either the whole record as its only element or all fragments of the
// record. moveRecord adds all elements or none.
func (c *compaction) moveRecord(fragments []Record) bool {
	newChunks, bytes := c.spaceNeeded(fragments)
	if newChunks > 0 && !c.canAddChanges(newChunks) || c.totalBytes+bytes > maxTxnBytes {
		return false
	}
	for _, f := range fragments {
		c.addFragment(f)
	}
	c.txnOps += newChunks
	c.changesLeft -= newChunks
	c.totalBytes += bytes
	return true
}

// spaceNeeded returns how many new chunks and how many bytes the fragments of a record take.
func (c *compaction) spaceNeeded(fragments []Record) (newChunks, bytes int) {
	left := c.lastChunkBytesLeft
	for _, f := range fragments {
		size := f.Size()
		if size > left {
			newChunks++
			left = c.expectedChunkBytes() - arrayBracketBytes
		}
		left -= size
		bytes += size
	}
	return newChunks, bytes
}

// addFragment adds one fragment to the last chunk, or to a new chunk if the fragment doesn't fit into
// the last chunk. The fragment may also be a whole record.
func (c *compaction) addFragment(f Record) {
	size := f.Size()
	if size > c.lastChunkBytesLeft {
		c.chunks = append(c.chunks, chunk{})
		c.lastChunkBytesLeft = c.expectedChunkBytes() - arrayBracketBytes
	}
	c.lastChunkBytesLeft -= size
	last := &c.chunks[len(c.chunks)-1]
	last.records = append(last.records, f)
}

// encodeChangedChunks encodes the chunks that compaction has changed or added, and returns all
// new chunks of the transaction. It fails with errChunkTooLarge if a chunk exceeds the value limit.
func (c *compaction) encodeChangedChunks() ([]chunk, error) {
	for i := c.firstToEncode; i < len(c.chunks); i++ {
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
