package archive

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
)

// A page is stored as the base64 text of: the format, the lower end, the number of entries, the
// entries, and a checksum of the key and all of that. An entry is the distance from the number
// before it, then its done tasks and whether it was cancelled. All numbers are varints.
const (
	pageFormat    = 1
	checksumBytes = 4
	// maxEntryBytes is the most that one entry takes.
	maxEntryBytes = 2 * binary.MaxVarintLen64
	// frameBytes is the most that a page takes besides its entries.
	frameBytes = 1 + 2*binary.MaxVarintLen64 + checksumBytes
	// maxTasks bounds the tasks of a job, far above the protocol's limit.
	maxTasks = 1 << 32
)

var (
	errTooShort = errors.New("it is too short")
	errChecksum = errors.New("its checksum is wrong")
	errOrder    = errors.New("its entries are out of order or range")
)

// packedPage is a page whose entries are decoded only where they are needed.
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

// appendEntry appends an entry that follows the number previous.
func appendEntry(body []byte, previous JobNumber, e *Entry) []byte {
	body = binary.AppendUvarint(body, uint64(e.Number-previous))
	return binary.AppendUvarint(body, packState(e.FinalState))
}

// packState returns a final state as one number: the lowest bit is set if the job was cancelled.
func packState(f FinalState) uint64 {
	state := uint64(f.Done) << 1
	if f.Cancelled {
		state |= 1
	}
	return state
}

func unpackState(state uint64) FinalState {
	return FinalState{Cancelled: state&1 != 0, Done: int(state >> 1)}
}

// entryBytes returns what an entry takes that follows the number previous.
func entryBytes(previous JobNumber, e *Entry) int {
	var buffer [maxEntryBytes]byte
	return len(appendEntry(buffer[:0], previous, e))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(key string, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, body)
}

// encode returns the stored value of a packed page.
func encode(packed []byte) (json.RawMessage, error) { return json.Marshal(packed) }

// decode decodes the frame of a stored page and checks the whole of it. The entries stay packed.
// All its errors are DamagedErrors.
func decode(key string, value json.RawMessage) (packedPage, error) {
	upper, err := upperOf(key)
	if err != nil {
		return packedPage{}, err
	}
	var packed []byte
	if err := json.Unmarshal(value, &packed); err != nil {
		return packedPage{}, &DamagedError{Key: key, Reason: "it is no base64 text"}
	}
	p := packedPage{upper: upper, packed: slices.Clip(packed)}
	if err := p.check(key); err != nil {
		return packedPage{}, &DamagedError{Key: key, Reason: err.Error()}
	}
	return p, nil
}

// check verifies the checksum, decodes the frame and walks the entries once.
func (p *packedPage) check(key string) error {
	body, err := p.verifiedBody(key)
	if err != nil {
		return err
	}
	if err := p.readFrame(body); err != nil {
		return err
	}
	entries := 0
	rest := p.each(func(Entry) bool { entries++; return true })
	if entries != p.count || rest != 0 {
		return errOrder
	}
	return nil
}

// verifiedBody returns the bytes before the checksum, which must match them.
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

// readFrame decodes the format, the lower end and the number of entries.
func (p *packedPage) readFrame(body []byte) error {
	if body[0] != pageFormat {
		return fmt.Errorf("format %d is not known, only %d", body[0], pageFormat)
	}
	lower, n := binary.Uvarint(body[1:])
	if n <= 0 || JobNumber(lower) >= p.upper {
		return errOrder
	}
	count, m := binary.Uvarint(body[1+n:])
	if m <= 0 || count > uint64(len(body)) {
		return errTooShort
	}
	p.lower, p.count = JobNumber(lower), int(count)
	return nil
}

// each calls f for the entries in order until it returns false, and returns how many bytes are
// left behind the last entry. An entry that is out of order or range ends it.
func (p *packedPage) each(f func(Entry) bool) (rest int) {
	entries := skipFrame(p.body())
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

// skipFrame returns the entries of a body whose frame was checked.
func skipFrame(body []byte) []byte {
	body = body[1:]
	for range 2 { // the lower end and the number of entries
		_, n := binary.Uvarint(body)
		body = body[max(n, 0):]
	}
	return body
}

// find returns the final state of a job.
func (p *packedPage) find(number JobNumber) (final FinalState, found bool) {
	p.each(func(e Entry) bool {
		if e.Number == number {
			final, found = e.FinalState, true
		}
		return e.Number < number
	})
	return final, found
}

// page decodes all entries.
func (p *packedPage) page() Page {
	entries := make([]Entry, 0, p.count)
	p.each(func(e Entry) bool {
		entries = append(entries, e)
		return true
	})
	return Page{Lower: p.lower, Upper: p.upper, Entries: entries}
}
