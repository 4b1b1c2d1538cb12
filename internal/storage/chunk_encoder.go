package storage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// Chunks are compressed once the limits of the key-value store have fallen: records resemble
// each other, and compressed commits need a third of the changes. The first versions can't
// read compressed chunks: see Encoding.

// chunk is a value of the key-value store that holds records.
type chunk struct {
	records []Record
	data    json.RawMessage
}

// emptyChunk is the value of a chunk without records.
var emptyChunk = json.RawMessage("[]")

// arrayBytes is what the brackets around a chunk's records take.
const arrayBytes = 2

// chunkEncoder encodes records as the values of chunks, and estimates how many records fit
// into one. It belongs to the journal's goroutine.
type chunkEncoder struct {
	capacity        int  // bytes that the value of a chunk may take
	compress        bool // chunks are compressed
	compressor      compressor
	commitRatio     compressionRatio // expected of the records of commits
	compactionRatio compressionRatio // expected of those that compaction moves: they are of other kinds
}

func newChunkEncoder(capacity int) chunkEncoder {
	return chunkEncoder{capacity: capacity, commitRatio: initialRatio, compactionRatio: initialRatio}
}

// encode encodes records as the value of a chunk.
func (e *chunkEncoder) encode(records []Record) (json.RawMessage, error) {
	plain, err := EncodeChunk(records)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	if !e.compress {
		return plain, nil
	}
	return e.compressor.compress(plain)
}

// expectedBytes returns how many bytes of records are expected to fit into a chunk.
func (e *chunkEncoder) expectedBytes(ratio compressionRatio) int {
	if !e.compress {
		return e.capacity
	}
	return int(float64(e.capacity) * float64(ratio))
}

// guaranteedBytes returns how many bytes of any records fit into a chunk.
func (e *chunkEncoder) guaranteedBytes() int { return e.expectedBytes(minRatio) }

// expectedCount returns how many of the first records are expected to fit into a chunk: at
// least one.
func (e *chunkEncoder) expectedCount(records []Record) int {
	size, limit := arrayBytes, e.expectedBytes(e.commitRatio)
	for i := range records {
		if size += records[i].Size(); size > limit && i > 0 {
			return i
		}
	}
	return len(records)
}

// fits reports whether a record fits into a chunk whole.
func (e *chunkEncoder) fits(r Record) bool {
	if r.Size()+arrayBytes <= e.guaranteedBytes() {
		return true
	}
	if !e.compress {
		return false
	}
	value, err := e.encode([]Record{r})
	return err == nil && len(value) <= e.capacity
}

// next encodes as many of the first records as fit into one chunk, and returns the rest.
func (e *chunkEncoder) next(records []Record) (c chunk, rest []Record, err error) {
	n := e.expectedCount(records)
	full := n < len(records)
	data, err := e.encode(records[:n])
	for err == nil && len(data) > e.capacity && n > 1 {
		e.learnCommitRatio(len(data), full)
		n = max(1, min(n-1, e.expectedCount(records)))
		data, err = e.encode(records[:n])
	}
	if err != nil {
		return chunk{}, nil, err
	}
	e.learnCommitRatio(len(data), full)
	return chunk{records[:n:n], data}, records[n:], nil
}

// learnCommitRatio adjusts the ratio that is expected of commits by the size of a value. A
// value that isn't full says nothing about how much more would have fitted.
func (e *chunkEncoder) learnCommitRatio(value int, full bool) {
	switch {
	case !e.compress:
	case value > e.capacity:
		e.commitRatio.lower()
	case full && value < e.capacity*3/4:
		e.commitRatio.raise(9, 8)
	}
}

// compressionRatio is by how much compression is expected to shrink records.
type compressionRatio float64

const (
	initialRatio compressionRatio = 2
	// minRatio is reached by any records: base64 takes a third more than their bytes.
	minRatio compressionRatio = 0.7
	maxRatio compressionRatio = 16
)

// lower reduces the ratio after records have shrunk less.
func (r *compressionRatio) lower() { *r = max(minRatio, *r*3/4) }

// raise multiplies the ratio by a fraction after records have shrunk more.
func (r *compressionRatio) raise(numerator, denominator compressionRatio) {
	*r = min(maxRatio, *r*numerator/denominator)
}

// compressor compresses the values of chunks. Its buffers are reused.
type compressor struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// compress compresses an encoded chunk into a base64 text.
func (c *compressor) compress(plain []byte) (json.RawMessage, error) {
	if err := c.deflate(plain); err != nil {
		return nil, fmt.Errorf("compress chunk: %w", err)
	}
	return json.Marshal(c.buffer.Bytes())
}

func (c *compressor) deflate(plain []byte) error {
	if err := c.reset(); err != nil {
		return err
	}
	if _, err := c.writer.Write(plain); err != nil {
		return err
	}
	return c.writer.Close()
}

func (c *compressor) reset() (err error) {
	c.buffer.Reset()
	if c.writer != nil {
		c.writer.Reset(&c.buffer)
		return nil
	}
	c.writer, err = flate.NewWriter(&c.buffer, flate.BestSpeed)
	return err
}

// decompressLimit bounds the bytes of one decompressed chunk.
const decompressLimit = 1 << 20

// decompress returns the encoded records of a chunk's value, which may be compressed.
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
	plain, err := io.ReadAll(io.LimitReader(reader, decompressLimit))
	if err != nil {
		return nil, fmt.Errorf("uncompress chunk: %w", err)
	}
	return plain, nil
}

// isCompressed reports whether a chunk's value is a text instead of an array.
func isCompressed(value json.RawMessage) bool { return len(value) > 0 && value[0] == '"' }
