package storage

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"sagevale/internal/clock"
)

// Encoding is what the journal may write. Compressed chunks and records in fragments are
// nothing that the first versions can read.
type Encoding int32

// The encodings.
const (
	PlainOnly          Encoding = iota // a record that is too large for that waits
	PlainWherePossible                 // only records that are too large go in fragments
	AnyEncoding
)

// SetEncoding says what may be written from the next chunk on. It may be called from any
// goroutine.
func (j *Journal) SetEncoding(e Encoding) { j.encoding.Store(int32(e)) }

// OnEncodingNeeded has f called whenever chunks should be compressed and may not be. It
// is called from the journal's goroutine and must not block.
func (j *Journal) OnEncodingNeeded(f func()) { j.encodingNeeded = f }

func (j *Journal) mayWrite(e Encoding) bool { return Encoding(j.encoding.Load()) >= e }

// migration asks the journal to write one step of what it holds in plain chunks.
type migration struct {
	reply chan migrationResult
}

type migrationResult struct {
	encoded int
	err     error
}

// MigrateStep confirms what was set by SetEncoding, and returns how many chunks that are
// compressed or hold fragments are left. Where such chunks aren't to be written any longer,
// it first rewrites some of them, within the budget, in one commit. Whoever leads next goes
// on with what is left.
func (j *Journal) MigrateStep(ctx context.Context) (encoded int, err error) {
	m := migration{reply: make(chan migrationResult, 1)}
	select {
	case j.migrations <- m:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case r := <-m.reply:
		return r.encoded, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// migrate carries out one step; an error ends the journal.
func (j *Journal) migrate(ctx context.Context, m migration) error {
	var err error
	if j.applyLimits(); j.migrating() {
		err = j.commitMigration(ctx)
	}
	m.reply <- migrationResult{j.encodedChunks(), err}
	return err
}

// commitMigration writes a chunk that holds nothing but what is moved into it.
func (j *Journal) commitMigration(ctx context.Context) error {
	if err := j.limiter.Wait(ctx); err != nil {
		return err
	}
	err := j.write(ctx, []chunk{{data: json.RawMessage("[]")}})
	if errors.Is(err, ErrMalformed) && j.limitTracker.Learn(err) {
		j.applyLimits()
		return nil
	}
	return err
}

// migrating tells whether encoded chunks are left that can be written plainly. What is too
// large for a chunk can't, so all waits until it is gone.
func (j *Journal) migrating() bool {
	if j.mayWrite(AnyEncoding) || j.encodedChunks() == 0 {
		return false
	}
	for key, e := range j.entities {
		if r := (Record{Key: key, Data: e.data}); r.Size()+2 > j.room() {
			return false
		}
	}
	return true
}

// encodedChunks counts the chunks that aren't plain.
func (j *Journal) encodedChunks() int {
	n := 0
	for i := range j.chunks {
		if j.chunks[i].encoded {
			n++
		}
	}
	return n
}

// lastEncoded is how many of the oldest chunks have to go until none is encoded.
func (j *Journal) lastEncoded() int {
	for i := len(j.chunks) - 1; i >= 0; i-- {
		if j.chunks[i].encoded {
			return i + 1
		}
	}
	return 0
}

// isEncoded tells whether a chunk is compressed or holds fragments.
func isEncoded(value json.RawMessage, records []Record) bool {
	return len(value) > 0 && value[0] == '"' || slices.ContainsFunc(records, func(r Record) bool { return r.fragment != nil })
}

// awaitEncoding waits until records may be written that are too large for a plain chunk.
func (j *Journal) awaitEncoding(ctx context.Context, records []Record) error {
	for !j.mayWrite(PlainWherePossible) && slices.ContainsFunc(records, func(r Record) bool { return !j.fits(r) }) {
		j.encodingNeeded()
		if !clock.Sleep(ctx, retryPause) {
			return ctx.Err()
		}
	}
	return nil
}

// IsEncoded tells whether a stored chunk is one that the first versions can't read.
func IsEncoded(value json.RawMessage) bool {
	plain, err := decompress(value)
	if err != nil {
		return true
	}
	records, err := parseRecords(plain)
	return err != nil || isEncoded(value, records)
}

// EncodeChunk makes a plain chunk's value of its records.
func EncodeChunk(records []Record) (json.RawMessage, error) { return json.Marshal(records) }
