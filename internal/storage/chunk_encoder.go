package storage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// Once the service takes less than it did, chunks are compressed: records are
// many alike, and what a commit takes of the budget falls to a third. Like records
// in fragments, a compressed chunk is nothing that versions before this one can read.

// inflateLimit bounds what one chunk may be unpacked to.
const inflateLimit = 1 << 20

// compressor encodes chunks. It belongs to one journal.
type compressor struct {
	z   *flate.Writer
	buf bytes.Buffer
}

// compress compresses a chunk's records into a value.
func (p *compressor) compress(plain []byte) (json.RawMessage, error) {
	p.buf.Reset()
	if p.z == nil {
		z, err := flate.NewWriter(&p.buf, flate.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("compress chunk: %w", err)
		}
		p.z = z
	} else {
		p.z.Reset(&p.buf)
	}
	if _, err := p.z.Write(plain); err != nil {
		return nil, fmt.Errorf("compress chunk: %w", err)
	}
	if err := p.z.Close(); err != nil {
		return nil, fmt.Errorf("compress chunk: %w", err)
	}
	return json.Marshal(p.buf.Bytes())
}

// decompress returns a chunk's records as they were before pack.
func decompress(value json.RawMessage) ([]byte, error) {
	if len(value) == 0 || value[0] != '"' {
		return value, nil
	}
	var packed []byte
	if err := json.Unmarshal(value, &packed); err != nil {
		return nil, err
	}
	z := flate.NewReader(bytes.NewReader(packed))
	defer z.Close()
	plain, err := io.ReadAll(io.LimitReader(z, inflateLimit))
	if err != nil {
		return nil, fmt.Errorf("uncompress chunk: %w", err)
	}
	return plain, nil
}

// encode makes a chunk's value of its records.
func (j *Journal) encode(records []Record) (json.RawMessage, error) {
	plain, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	if !j.compress {
		return plain, nil
	}
	return j.compressor.compress(plain)
}

const (
	// initialRatio is by how much chunks are expected to shrink at first.
	initialRatio = 2.0
	// minRatio is what surely fits, for base64 takes a third more.
	minRatio = 0.7
	maxRatio = 16.0
)

// updateRatio takes in by how much a chunk has shrunk. full tells that it held as
// much as was expected to fit.
func (j *Journal) updateRatio(value int, full bool) {
	switch {
	case !j.compress:
	case value > j.room():
		j.compressionRatio = max(minRatio, j.compressionRatio*3/4)
	case full && value < j.room()*3/4:
		j.compressionRatio = min(maxRatio, j.compressionRatio*9/8)
	}
}

// rawRoom is how many bytes of records a chunk is expected to hold.
func (j *Journal) rawRoom(ratio float64) int {
	if !j.compress {
		return j.room()
	}
	return int(float64(j.room()) * ratio)
}

// guaranteedRoom is how many bytes of records fit into a chunk whatever they are.
func (j *Journal) guaranteedRoom() int {
	if !j.compress {
		return j.room()
	}
	return int(float64(j.room()) * minRatio)
}

// fits tells whether a record fits into a chunk whole.
func (j *Journal) fits(r Record) bool {
	if r.Size()+2 <= j.guaranteedRoom() || !j.compress {
		return r.Size()+2 <= j.guaranteedRoom()
	}
	value, err := j.encode([]Record{r})
	return err == nil && len(value) <= j.room()
}
