package storage

import (
	"context"
	"encoding/json"
	"slices"

	"sagevale/internal/clock"
)

// Encoding limits the chunk formats that the journal may write. The first versions of the
// program can't read compressed chunks or records in fragments, so a journal writes these only
// once the feature gate upgrade.CompressedChunks allows it.
type Encoding int32

// The encodings. Each also allows everything that the ones before it allow.
const (
	PlainOnly          Encoding = iota // plain chunks; the commit of a record that is too large for one waits
	PlainWherePossible                 // plain chunks, except that records too large for one are written as fragments
	AnyEncoding                        // compressed chunks and fragments
)

// SetEncoding sets the encoding that the journal may use from its next commit or migration step
// on. It may be called from any goroutine.
func (j *Journal) SetEncoding(e Encoding) { j.allowedEncoding.Store(int32(e)) }

// OnEncodingNeeded registers f, which the journal calls whenever it has to compress chunks or
// to write fragments but the encoding doesn't allow it. OnEncodingNeeded must be called before
// Run. The journal calls f from its own goroutine, so f must not block.
func (j *Journal) OnEncodingNeeded(f func()) { j.onEncodingNeeded = f }

// allows reports whether the journal may use an encoding.
func (j *Journal) allows(e Encoding) bool { return Encoding(j.allowedEncoding.Load()) >= e }

// awaitEncoding waits while some record is too large for a plain chunk and fragments are not
// allowed.
func (j *Journal) awaitEncoding(ctx context.Context, records []Record) error {
	tooLarge := func(r Record) bool { return !j.encoder.fitsInChunk(r) }
	for !j.allows(PlainWherePossible) && slices.ContainsFunc(records, tooLarge) {
		j.onEncodingNeeded()
		if !clock.Sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
	return nil
}

// EncodeChunk encodes records as the value of a plain chunk.
func EncodeChunk(records []Record) (json.RawMessage, error) { return json.Marshal(records) }

// IsEncoded reports whether a stored chunk is compressed, holds fragments or can't be decoded.
// The first versions can't read such chunks.
func IsEncoded(value json.RawMessage) bool {
	records, err := decodeChunk(value)
	return err != nil || isEncoded(value, records)
}

// isEncoded reports whether a chunk with these decoded records is compressed or holds fragments.
func isEncoded(value json.RawMessage, records []Record) bool {
	isFragment := func(r Record) bool { return r.fragment != nil }
	return isCompressed(value) || slices.ContainsFunc(records, isFragment)
}

// decodeChunk decodes the records of a chunk's value, which may be compressed.
func decodeChunk(value json.RawMessage) ([]Record, error) {
	plain, err := decompress(value)
	if err != nil {
		return nil, err
	}
	return parseRecords(plain)
}
