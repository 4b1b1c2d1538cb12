package archive

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"sagevale/internal/storage"
)

// FinalState is the final state of a job.
type FinalState struct {
	Cancelled bool // else done
	Done      int  // tasks that are done
}

// FinalStateOf is the final state of a job's record.
func FinalStateOf(phase storage.Phase, done int) FinalState {
	return FinalState{Cancelled: phase == storage.Cancelled, Done: done}
}

// Phase is the job's phase.
func (f FinalState) Phase() storage.Phase {
	if f.Cancelled {
		return storage.Cancelled
	}
	return storage.Done
}

// Entry is one archived job.
type Entry struct {
	Number JobNumber
	FinalState
}

// Page is the archived jobs of the ranks above Lower up to Upper, in order.
type Page struct {
	Lower, Upper JobNumber
	Entries      []Entry
}

// prefix begins the keys of all pages.
const prefix = "archive/page/"

// keyDigits is how many digits a page's key has, so that keys are ordered like ranks.
const keyDigits = 19

// pageKey is the key of the page whose range ends with upper.
func pageKey(upper JobNumber) string {
	number := strconv.FormatUint(uint64(upper), 10)
	return prefix + strings.Repeat("0", keyDigits-len(number)) + number
}

// upperOf reads the end of a page's range from its key.
func upperOf(key string) (JobNumber, error) {
	number, ok := strings.CutPrefix(key, prefix)
	upper, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || len(number) != keyDigits || upper < 1 || JobNumber(upper) > LastJobNumber {
		return 0, &DamagedError{Key: key, Reason: "it is no page's key"}
	}
	return JobNumber(upper), nil
}

// DamagedError tells that a stored page can't be understood. Nothing is guessed from it.
type DamagedError struct {
	Key    string
	Reason string
}

func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }

// A page's value is the base64 text of: the format, the lower end, the number of entries, the entries,
// and a checksum over the key and all of that. An entry is the distance from the rank before it, then its
// tasks and whether it was cancelled; numbers are varints.
const (
	pageFormat    = 1
	checksumBytes = 4
	// mostEntryBytes is what one entry takes at the most.
	mostEntryBytes = 2 * binary.MaxVarintLen64
	// frameBytes is what a page takes beside its entries at the most.
	frameBytes = 1 + 2*binary.MaxVarintLen64 + checksumBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(key string, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, body)
}

// pack writes a page as bytes.
func pack(p *Page) []byte {
	body := []byte{pageFormat}
	body = binary.AppendUvarint(body, uint64(p.Lower))
	body = binary.AppendUvarint(body, uint64(len(p.Entries)))
	before := p.Lower
	for i := range p.Entries {
		body = appendEntry(body, before, &p.Entries[i])
		before = p.Entries[i].Number
	}
	return binary.LittleEndian.AppendUint32(body, checksum(pageKey(p.Upper), body))
}

func appendEntry(body []byte, before JobNumber, e *Entry) []byte {
	state := uint64(e.Done) << 1
	if e.Cancelled {
		state |= 1
	}
	return binary.AppendUvarint(binary.AppendUvarint(body, uint64(e.Number-before)), state)
}

// entryBytes is what an entry takes behind one of rank before.
func entryBytes(before JobNumber, e *Entry) int {
	var buffer [mostEntryBytes]byte
	return len(appendEntry(buffer[:0], before, e))
}

// valueBytes is how long a value is whose page takes so many bytes: in base64, in quotes.
func valueBytes(packed int) int { return base64.StdEncoding.EncodedLen(packed) + 2 }

// encode makes a page's value.
func encode(packed []byte) (json.RawMessage, error) { return json.Marshal(packed) }

// decode reads a page's value as far as its frame, and checks it. The entries stay packed.
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

// packedPage is a page whose entries are read where they are needed.
type packedPage struct {
	lower, upper JobNumber
	count        int
	packed       []byte
}

var (
	errTooShort = errors.New("it is too short")
	errChecksum = errors.New("its checksum is wrong")
	errOrder    = errors.New("its entries are out of order or range")
)

// check reads the frame of a page and walks its entries once.
func (p *packedPage) check(key string) error {
	if len(p.packed) < 1+checksumBytes {
		return errTooShort
	}
	body := p.packed[:len(p.packed)-checksumBytes]
	if binary.LittleEndian.Uint32(p.packed[len(body):]) != checksum(key, body) {
		return errChecksum
	}
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
	walked := 0
	rest := p.each(func(Entry) bool { walked++; return true })
	if walked != p.count || rest != 0 {
		return errOrder
	}
	return nil
}

// each calls f for the entries in order until it returns false, and returns how many bytes
// are left behind what was read. Entries out of range end it.
func (p *packedPage) each(f func(Entry) bool) (rest int) {
	body := p.packed[1 : len(p.packed)-checksumBytes]
	for range 2 { // the frame, which was checked
		_, n := binary.Uvarint(body)
		body = body[max(n, 0):]
	}
	rank := p.lower
	for range p.count {
		distance, n := binary.Uvarint(body)
		if n <= 0 || distance == 0 || distance > uint64(p.upper-rank) {
			return len(body)
		}
		state, m := binary.Uvarint(body[n:])
		if m <= 0 || state>>1 > mostTasks {
			return len(body)
		}
		body = body[n+m:]
		rank += JobNumber(distance)
		if !f(Entry{Number: rank, FinalState: FinalState{Cancelled: state&1 != 0, Done: int(state >> 1)}}) {
			return len(body)
		}
	}
	return len(body)
}

// mostTasks bounds the tasks of a job, far above the protocol's.
const mostTasks = 1 << 32

// find looks for a rank.
func (p *packedPage) find(rank JobNumber) (final FinalState, found bool) {
	p.each(func(e Entry) bool {
		if e.Number == rank {
			final, found = e.FinalState, true
		}
		return e.Number < rank
	})
	return final, found
}

// page unpacks all of it.
func (p *packedPage) page() Page {
	entries := make([]Entry, 0, p.count)
	p.each(func(e Entry) bool {
		entries = append(entries, e)
		return true
	})
	return Page{Lower: p.lower, Upper: p.upper, Entries: entries}
}
