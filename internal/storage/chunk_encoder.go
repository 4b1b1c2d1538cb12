package storage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// The journal compresses new chunks once the key-value store has lowered its limit on the size of
// values, if the Encoding allows it. Records resemble each other and compress well: with compression
// a commit takes a third of the store operations that it takes without. The first versions of the
// program can't read compressed chunks: see Encoding.

// chunk is an entry of the journal. It holds a list of records, and their encoding as it is stored
// under the chunk's key in the key-value store.
type chunk struct {
	records []Record
	data    json.RawMessage
}

// emptyChunkValue is the value of a chunk without records.
var emptyChunkValue = json.RawMessage("[]")

// arrayBracketBytes is the size of the JSON array brackets around a chunk's records.
const arrayBracketBytes = 2

// chunkEncoder encodes records as the values of chunks, and estimates how many records fit
// into one chunk. Only the journal's goroutine may use it.
type chunkEncoder struct {
	capacity        int  // maximum size of a chunk's value in bytes
	compressChunks  bool // whether new chunks are compressed
	compressor      compressor
	commitRatio     compressionRatio // ratio expected for the records that a commit writes
	compactionRatio compressionRatio // ratio expected for the records that compaction moves; commits mostly write other kinds
}

func newChunkEncoder(capacity int) chunkEncoder {
	return chunkEncoder{capacity: capacity, commitRatio: initialRatio, compactionRatio: initialRatio}
}

// encode encodes records as the value of a chunk, compressed if compressChunks is set.
func (e *chunkEncoder) encode(records []Record) (json.RawMessage, error) {
	plain, err := EncodeChunk(records)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	if !e.compressChunks {
		return plain, nil
	}
	return e.compressor.compress(plain)
}

// expectedRecordBytes returns how many bytes of uncompressed records are expected to fit into a
// chunk at the given compression ratio.
func (e *chunkEncoder) expectedRecordBytes(ratio compressionRatio) int {
	if !e.compressChunks {
		return e.capacity
	}
	return int(float64(e.capacity) * float64(ratio))
}

// guaranteedRecordBytes returns how many bytes of records fit into a chunk however badly they
// compress.
func (e *chunkEncoder) guaranteedRecordBytes() int { return e.expectedRecordBytes(minRatio) }

// expectedRecordCount returns how many records, from the first on, are expected to fit into one
// chunk. It returns at least 1 if there are records.
func (e *chunkEncoder) expectedRecordCount(records []Record) int {
	size, limit := arrayBracketBytes, e.expectedRecordBytes(e.commitRatio)
	for i := range records {
		if size += records[i].Size(); size > limit && i > 0 {
			return i
		}
	}
	return len(records)
}

// fitsInChunk reports whether a record fits into one chunk without being split into fragments.
func (e *chunkEncoder) fitsInChunk(r Record) bool {
	if r.Size()+arrayBracketBytes <= e.guaranteedRecordBytes() {
		return true
	}
	if !e.compressChunks {
		return false
	}
	value, err := e.encode([]Record{r})
	return err == nil && len(value) <= e.capacity
}

// encodeNext encodes as many records as fit into one chunk, from the first on, and returns the
// chunk and the remaining records.
func (e *chunkEncoder) encodeNext(records []Record) (c chunk, rest []Record, err error) {
	n := e.expectedRecordCount(records)
	full := n < len(records)
	data, err := e.encode(records[:n])
	for err == nil && len(data) > e.capacity && n > 1 {
		e.adjustCommitRatio(len(data), full)
		n = max(1, min(n-1, e.expectedRecordCount(records)))
		data, err = e.encode(records[:n])
	}
	if err != nil {
		return chunk{}, nil, err
	}
	e.adjustCommitRatio(len(data), full)
	return chunk{records[:n:n], data}, records[n:], nil
}

// adjustCommitRatio adjusts commitRatio according to the size of an encoded value. It lowers the
// ratio if the value exceeds the capacity. It raises the ratio if the value takes less than three
// quarters of the capacity, but only if full is set, which means that there were enough records to
// fill the chunk. With fewer records, the value is small however well they compress.
func (e *chunkEncoder) adjustCommitRatio(valueBytes int, full bool) {
	switch {
	case !e.compressChunks:
	case valueBytes > e.capacity:
		e.commitRatio.lower()
	case full && valueBytes < e.capacity*3/4:
		e.commitRatio.raise(9, 8)
	}
}

// compressionRatio is the expected ratio of the size of records before compression to their size
// after it.
type compressionRatio float64

const (
	initialRatio compressionRatio = 2
	// minRatio is below 0.75, the ratio of incompressible records: base64 enlarges them by a third.
	minRatio compressionRatio = 0.7
	maxRatio compressionRatio = 16
)

// lower reduces the ratio after records compressed worse than expected.
func (r *compressionRatio) lower() { *r = max(minRatio, *r*3/4) }

// raise multiplies the ratio by numerator/denominator after records compressed as well as
// expected or better.
func (r *compressionRatio) raise(numerator, denominator compressionRatio) {
	*r = min(maxRatio, *r*numerator/denominator)
}

// compressor compresses the values of chunks. It reuses its writer and buffer.
type compressor struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// compress compresses an encoded chunk and returns it as a JSON string in base64.
func (c *compressor) compress(plain []byte) (json.RawMessage, error) {
	if err := c.deflate(plain); err != nil {
		return nil, fmt.Errorf("compress chunk: %w", err)
	}
	return json.Marshal(c.buffer.Bytes())
}

// deflate writes the compressed bytes of plain into the buffer.
func (c *compressor) deflate(plain []byte) error {
	if err := c.reset(); err != nil {
		return err
	}
	if _, err := c.writer.Write(plain); err != nil {
		return err
	}
	return c.writer.Close()
}

// reset prepares the writer and the buffer for the next chunk.
func (c *compressor) reset() (err error) {
	c.buffer.Reset()
	if c.writer != nil {
		c.writer.Reset(&c.buffer)
		return nil
	}
	c.writer, err = flate.NewWriter(&c.buffer, flate.BestSpeed)
	return err
}

// maxDecompressedBytes limits the size of one decompressed chunk. A larger chunk is truncated, and
// decoding it fails.
const maxDecompressedBytes = 1 << 20

// decompress returns the JSON array of records that a chunk's value contains. The value may be
// compressed or plain.
func decompress(value json.RawMessage) ([]byte, error) {
	if !isCompressed(value) {
		return value, nil
	}
	var compressed []byte
	if err := json.Unmarshal(value, &compressed); err != nil {
		return nil, err
	}
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer reader.Close()
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress chunk: %w", err)
	}
	return plain, nil
}

// isCompressed reports whether a chunk's value is compressed: a JSON string instead of an array.
func isCompressed(value json.RawMessage) bool { return len(value) > 0 && value[0] == '"' }
