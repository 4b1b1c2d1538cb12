package storage

import (
	"context"
	"encoding/json"
	"slices"

	"sagevale/internal/clock"
)

// Encoding limits the chunk formats that the journal may write. A plain chunk is neither compressed
// nor holds fragments of records. The first versions of the program can read only plain chunks, so
// the journal writes other chunks only once the feature gate upgrade.CompressedChunks allows it.
type Encoding int32

// The encodings. Each encoding also allows everything that the encodings listed before it allow.
const (
	PlainOnly          Encoding = iota // plain chunks; a commit with a record too large for one waits: see awaitEncoding
	PlainWherePossible                 // plain chunks, but a record that is too large for a plain chunk is written as fragments
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

// IsNonPlain reports whether a stored chunk is not plain: compressed, with fragments, or not decodable.
// The first versions of the program can't read such chunks.
func IsNonPlain(value json.RawMessage) bool {
	records, err := decodeChunk(value)
	return err != nil || isNonPlain(value, records)
}

// isNonPlain reports whether a chunk is not plain: compressed, or with fragments. value is the stored
// value of the chunk, and records holds the records that were decoded from the value.
func isNonPlain(value json.RawMessage, records []Record) bool {
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
