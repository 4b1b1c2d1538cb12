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

// packer encodes chunks. It belongs to one journal.
type packer struct {
	z   *flate.Writer
	buf bytes.Buffer
}

// pack compresses a chunk's records into a value.
func (p *packer) pack(plain []byte) (json.RawMessage, error) {
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

// unpack returns a chunk's records as they were before pack.
func unpack(value json.RawMessage) ([]byte, error) {
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
	if !j.packs {
		return plain, nil
	}
	return j.packer.pack(plain)
}

const (
	// packsFirst is by how much chunks are expected to shrink at first.
	packsFirst = 2.0
	// packsLeast is what surely fits, for base64 takes a third more.
	packsLeast = 0.7
	packsMost  = 16.0
)

// learnRatio takes in by how much a chunk has shrunk. full tells that it held as
// much as was expected to fit.
func (j *Journal) learnRatio(value int, full bool) {
	switch {
	case !j.packs:
	case value > j.room():
		j.ratio = max(packsLeast, j.ratio*3/4)
	case full && value < j.room()*3/4:
		j.ratio = min(packsMost, j.ratio*9/8)
	}
}

// rawRoom is how many bytes of records a chunk is expected to hold.
func (j *Journal) rawRoom(ratio float64) int {
	if !j.packs {
		return j.room()
	}
	return int(float64(j.room()) * ratio)
}

// sureRoom is how many bytes of records fit into a chunk whatever they are.
func (j *Journal) sureRoom() int {
	if !j.packs {
		return j.room()
	}
	return int(float64(j.room()) * packsLeast)
}

// fits tells whether a record fits into a chunk whole.
func (j *Journal) fits(r Record) bool {
	if r.size()+2 <= j.sureRoom() || !j.packs {
		return r.size()+2 <= j.sureRoom()
	}
	value, err := j.encode([]Record{r})
	return err == nil && len(value) <= j.room()
}
