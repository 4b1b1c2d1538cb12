package storage

import (
	"context"
	"encoding/json"
	"slices"

	"sagevale/internal/clock"
)

// Encoding is what the journal may write. The first versions can't read compressed chunks or
// records in fragments, so a journal writes them only once a gate of the upgrade allows it.
type Encoding int32

// The encodings. Each allows all that the ones before it allow.
const (
	PlainOnly          Encoding = iota // a record that is too large for a plain chunk waits
	PlainWherePossible                 // only records that are too large are written as fragments
	AnyEncoding
)

// SetEncoding sets what may be written from the next chunk on. It may be called from any
// goroutine.
func (j *Journal) SetEncoding(e Encoding) { j.allowedEncoding.Store(int32(e)) }

// OnEncodingNeeded has f called whenever chunks should be compressed and may not be. It must
// be called before Run. f is called from the journal's goroutine and must not block.
func (j *Journal) OnEncodingNeeded(f func()) { j.onEncodingNeeded = f }

// allows reports whether an encoding may be written.
func (j *Journal) allows(e Encoding) bool { return Encoding(j.allowedEncoding.Load()) >= e }

// awaitEncoding waits while the records hold some that are too large for a plain chunk and
// may not be written as fragments.
func (j *Journal) awaitEncoding(ctx context.Context, records []Record) error {
	tooLarge := func(r Record) bool { return !j.encoder.fits(r) }
	for !j.allows(PlainWherePossible) && slices.ContainsFunc(records, tooLarge) {
		j.onEncodingNeeded()
		if !clock.Sleep(ctx, retryPause) {
			return ctx.Err()
		}
	}
	return nil
}

// EncodeChunk encodes records as the value of a plain chunk.
func EncodeChunk(records []Record) (json.RawMessage, error) { return json.Marshal(records) }

// IsEncoded reports whether the first versions can't read a stored chunk.
func IsEncoded(value json.RawMessage) bool {
	records, err := decodeChunk(value)
	return err != nil || isEncoded(value, records)
}

// isEncoded reports whether a chunk is compressed or holds fragments.
func isEncoded(value json.RawMessage, records []Record) bool {
	isFragment := func(r Record) bool { return r.fragment != nil }
	return isCompressed(value) || slices.ContainsFunc(records, isFragment)
}

// decodeChunk returns the records of a chunk's value.
func decodeChunk(value json.RawMessage) ([]Record, error) {
	plain, err := decompress(value)
	if err != nil {
		return nil, err
	}
	return parseRecords(plain)
}
