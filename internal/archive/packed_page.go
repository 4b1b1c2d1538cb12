package archive

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
)

// A page is stored as base64 text. The packed bytes are, in this order:
//
//   - the header: one byte for the format, the lower end of the range, and the number of entries
//   - the entries, sorted by job number
//   - the CRC-32C checksum of the page's key and all bytes before the checksum, in little-endian order
//
// An entry consists of two numbers. The first is the difference between the job's number and the number
// of the previous entry; for the first entry, it is the difference from the lower end. The second is the
// final state, packed by packState. These numbers and those in the header are varints.
const (
	pageFormat    = 1
	checksumBytes = 4
	// maxEntryBytes is the maximum size of one entry.
	maxEntryBytes = 2 * binary.MaxVarintLen64
	// maxOverheadBytes is the maximum size of a page's header and checksum.
	maxOverheadBytes = 1 + 2*binary.MaxVarintLen64 + checksumBytes
	// maxTasks is the largest number of done tasks that is accepted in an entry. It is far above the
	// protocol's limit on the number of tasks in a job.
	maxTasks = 1 << 32
)

var (
	errTooShort       = errors.New("the value is too short")
	errChecksum       = errors.New("checksum mismatch")
	errInvalidEntries = errors.New("invalid range or entries")
)

// packedPage is a page in packed form. Its entries are decoded only when they are needed.
type packedPage struct {
	lower, upper JobNumber
	count        int
	packed       []byte
}

// pack returns the packed bytes of a page.
func pack(p *Page) []byte {
	body := []byte{pageFormat}
	body = binary.AppendUvarint(body, uint64(p.Lower))
	body = binary.AppendUvarint(body, uint64(len(p.Entries)))
	previous := p.Lower
	for i := range p.Entries {
		body = appendEntry(body, previous, &p.Entries[i])
		previous = p.Entries[i].Number
	}
	return binary.LittleEndian.AppendUint32(body, checksum(pageKey(p.Upper), body))
}

// appendEntry appends a packed entry. previous is the number of the entry before it.
func appendEntry(body []byte, previous JobNumber, e *Entry) []byte {
	body = binary.AppendUvarint(body, uint64(e.Number-previous))
	return binary.AppendUvarint(body, packState(e.FinalState))
}

// packState encodes a final state as one number: the lowest bit is set if the job was cancelled, and the
// other bits are the number of done tasks.
func packState(f FinalState) uint64 {
	state := uint64(f.Done) << 1
	if f.Cancelled {
		state |= 1
	}
	return state
}

// unpackState is the inverse of packState.
func unpackState(state uint64) FinalState {
	return FinalState{Cancelled: state&1 != 0, Done: int(state >> 1)}
}

// entryBytes returns the packed size of an entry. previous is the number of the entry before it.
func entryBytes(previous JobNumber, e *Entry) int {
	var buffer [maxEntryBytes]byte
	return len(appendEntry(buffer[:0], previous, e))
}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C checksum of a page's key and body.
func checksum(key string, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoliTable), castagnoliTable, body)
}

// encode returns the stored value of a packed page.
func encode(packed []byte) (json.RawMessage, error) { return json.Marshal(packed) }

// decode decodes the header of a stored page and validates the whole page. The entries stay packed. All
// errors are DamagedErrors.
func decode(key string, value json.RawMessage) (packedPage, error) {
	upper, err := parsePageKey(key)
	if err != nil {
		return packedPage{}, err
	}
	var packed []byte
	if err := json.Unmarshal(value, &packed); err != nil {
		return packedPage{}, &DamagedError{Key: key, Reason: "the value isn't base64 text"}
	}
	p := packedPage{upper: upper, packed: slices.Clip(packed)}
	if err := p.validate(key); err != nil {
		return packedPage{}, &DamagedError{Key: key, Reason: err.Error()}
	}
	return p, nil
}

// validate verifies the checksum, decodes the header and checks all entries.
func (p *packedPage) validate(key string) error {
	body, err := p.verifiedBody(key)
	if err != nil {
		return err
	}
	if err := p.decodeHeader(body); err != nil {
		return err
	}
	entries := 0
	rest := p.forEachEntry(func(Entry) bool { entries++; return true })
	if entries != p.count || rest != 0 {
		return errInvalidEntries
	}
	return nil
}

// verifiedBody returns the bytes before the checksum, or an error if the checksum doesn't match them.
func (p *packedPage) verifiedBody(key string) ([]byte, error) {
	if len(p.packed) < 1+checksumBytes {
		return nil, errTooShort
	}
	body := p.body()
	if binary.LittleEndian.Uint32(p.packed[len(body):]) != checksum(key, body) {
		return nil, errChecksum
	}
	return body, nil
}

// body returns the bytes before the checksum.
func (p *packedPage) body() []byte { return p.packed[:len(p.packed)-checksumBytes] }

// decodeHeader decodes the format, the lower end and the number of entries.
func (p *packedPage) decodeHeader(body []byte) error {
	if body[0] != pageFormat {
		return fmt.Errorf("format %d is not supported, only %d", body[0], pageFormat)
	}
	lower, n := binary.Uvarint(body[1:])
	if n <= 0 || JobNumber(lower) >= p.upper {
		return errInvalidEntries
	}
	count, m := binary.Uvarint(body[1+n:])
	if m <= 0 || count > uint64(len(body)) {
		return errTooShort
	}
	p.lower, p.count = JobNumber(lower), int(count)
	return nil
}

// forEachEntry calls f for the entries in order. It stops when f returns false, and at an entry that is
// invalid, out of order or outside the page's range. It returns how many bytes follow the last entry that
// was decoded.
func (p *packedPage) forEachEntry(f func(Entry) bool) (rest int) {
	entries := skipHeader(p.body())
	number := p.lower
	for range p.count {
		distance, n := binary.Uvarint(entries)
		if n <= 0 || distance == 0 || distance > uint64(p.upper-number) {
			break
		}
		state, m := binary.Uvarint(entries[n:])
		if m <= 0 || state>>1 > maxTasks {
			break
		}
		entries = entries[n+m:]
		number += JobNumber(distance)
		if !f(Entry{Number: number, FinalState: unpackState(state)}) {
			break
		}
	}
	return len(entries)
}

// skipHeader returns the packed entries of a body with a valid header.
func skipHeader(body []byte) []byte {
	body = body[1:]
	for range 2 { // the lower end and the number of entries
		_, n := binary.Uvarint(body)
		body = body[max(n, 0):]
	}
	return body
}

// find returns the final state of a job, and whether the job is in the page.
func (p *packedPage) find(number JobNumber) (final FinalState, found bool) {
	p.forEachEntry(func(e Entry) bool {
		if e.Number == number {
			final, found = e.FinalState, true
		}
		return e.Number < number
	})
	return final, found
}

// unpack returns the page with all entries decoded.
func (p *packedPage) unpack() Page {
	entries := make([]Entry, 0, p.count)
	p.forEachEntry(func(e Entry) bool {
		entries = append(entries, e)
		return true
	})
	return Page{Lower: p.lower, Upper: p.upper, Entries: entries}
}
