// Package storage keeps what must outlive every controller: the records of
// jobs, attempts, machines and rentals, the journal that writes them to the
// state service in group commits, and the reservations of room that follow from them.
package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Priority orders jobs; a larger value goes first.
type Priority int

// The priorities of the users' interface.
const (
	BestEffort Priority = iota
	Normal
	High
	Production
)

// Resources is an amount of a machine's resources.
type Resources struct {
	CPUs     float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// roundingSlack forgives the rounding of decimal sums.
const roundingSlack = 1e-6

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns what is left of r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Mul returns n times the amount.
func (r Resources) Mul(n int) Resources {
	f := float64(n)
	return Resources{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// Fits tells whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+roundingSlack && r.GPUs <= free.GPUs+roundingSlack && r.MemoryGB <= free.MemoryGB+roundingSlack
}

// Spec is a job as its user submitted it.
type Spec struct {
	ID          string    `json:"-"`
	Class       string    `json:"b,omitempty"`
	Team        string    `json:"o,omitempty"`
	Service     bool      `json:"s,omitempty"`
	Gang        bool      `json:"gg,omitempty"` // all tasks run together
	Priority    Priority  `json:"u,omitempty"`
	Tasks       int       `json:"n"`
	Resources   Resources `json:"r"`
	Types       []string  `json:"t,omitempty"`
	Zone        string    `json:"z,omitempty"`
	SameZone    bool      `json:"sz,omitempty"`
	Spread      bool      `json:"sp,omitempty"`
	Spot        bool      `json:"l,omitempty"`
	Image       string    `json:"i,omitempty"`
	ImageGB     float64   `json:"ig,omitempty"`
	EstimateS   float64   `json:"e,omitempty"`
	CheckpointS float64   `json:"k,omitempty"`
	SaveS       float64   `json:"ks,omitempty"`
	DeadlineS   float64   `json:"d,omitempty"`
}

// Phase is the lasting part of a job's state.
type Phase int

// A job is open until it is done or cancelled; both are kept for good.
const (
	Open Phase = iota
	Done
	Cancelled
)

// JobRecord is the lasting record of a job. Final jobs keep no spec.
type JobRecord struct {
	Phase       Phase `json:"f,omitempty"`
	Tasks       int   `json:"n"`
	SubmittedMS int64 `json:"a,omitempty"`
	Spec        *Spec `json:"s,omitempty"`
	DoneTasks   int   `json:"d,omitempty"`
	// Activation is the lifecycle of an open service that may be at zero, behind a gate.
	Activation json.RawMessage `json:"w,omitempty"`
}

// PageTasks is how many tasks of a job share one page record. A full page
// must stay well under the value limit of the state service.
const PageTasks = 64

// AttemptRecord is one attempt that may be on a machine.
type AttemptRecord struct {
	Task        int    `json:"t"`
	Number      uint64 `json:"y"`
	Machine     int    `json:"m"`
	Incarnation uint64 `json:"r"`
}

// PageRecord holds the done tasks (as ranges) and the attempts of one page of
// a job's tasks.
type PageRecord struct {
	Done     []int           `json:"d,omitempty"`
	Attempts []AttemptRecord `json:"a,omitempty"`
}

// MachineRecord is what must be known of a machine that carries bookings or
// is being returned.
type MachineRecord struct {
	Addr        string `json:"a,omitempty"`
	Type        string `json:"t,omitempty"`
	Zone        string `json:"z,omitempty"`
	Spot        bool   `json:"l,omitempty"`
	Incarnation uint64 `json:"r,omitempty"`
	Terminating bool   `json:"x,omitempty"`
	// Images are those that it has fetched, with their size in GB: a new leader
	// would otherwise place as if every image but the running ones were to fetch.
	Images map[string]float64 `json:"i,omitempty"`
}

// LaunchRecord is a rental request, recorded under its name before it is sent.
type LaunchRecord struct {
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"l,omitempty"`
	Count int    `json:"n"`
}

// FleetRecord is the desired size of the fleet and the term that set it.
type FleetRecord struct {
	Desired int    `json:"n"`
	Term    uint64 `json:"t"`
}

// MachineType is one entry of the cloud's catalogue.
type MachineType struct {
	Name      string    `json:"n"`
	Resources Resources `json:"r"`
	CacheGB   float64   `json:"c,omitempty"`
	FetchGBPS float64   `json:"f,omitempty"`
	Price     float64   `json:"p"`
	SpotPrice float64   `json:"sp,omitempty"`
	BootS     float64   `json:"b,omitempty"`
	Zones     []string  `json:"z"`
}

// Record is one entity's latest lasting state. Nil data removes the entity.
type Record struct {
	Key      string
	Data     json.RawMessage
	fragment *fragment // one part of the data instead of all of it; nil: all
}

// NewRecord encodes data under key; nil data removes the entity.
func NewRecord(key string, data any) (Record, error) {
	if data == nil {
		return Record{Key: key}, nil
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return Record{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return Record{Key: key, Data: raw}, nil
}

// MarshalJSON writes a record as the compact pair [key, data].
func (r Record) MarshalJSON() ([]byte, error) {
	if r.fragment != nil {
		return r.fragment.marshal(r.Key)
	}
	if r.Data == nil {
		return json.Marshal([]string{r.Key})
	}
	return json.Marshal([]any{r.Key, r.Data})
}

// UnmarshalJSON reads the pair that MarshalJSON writes.
func (r *Record) UnmarshalJSON(b []byte) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}
	var err error
	*r, err = recordOf(parts)
	return err
}

// recordOf makes a record of its parts: the key, then its data or a fragment of it.
func recordOf(parts []json.RawMessage) (Record, error) {
	if len(parts) == 0 || len(parts) > 2 && len(parts) != fragmentFields {
		return Record{}, fmt.Errorf("a record has %d parts", len(parts))
	}
	var r Record
	var err error
	if r.Key, err = parseKey(parts[0]); err != nil {
		return Record{}, err
	}
	switch len(parts) {
	case 2:
		r.Data = parts[1]
	case fragmentFields:
		if r.fragment, err = unmarshalFragment(parts); err != nil {
			return Record{}, err
		}
	}
	return r, nil
}

// parseKey reads a record's key; nearly all stand for themselves.
func parseKey(raw json.RawMessage) (key string, err error) {
	if len(raw) >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 && utf8.Valid(raw) {
		return string(raw[1 : len(raw)-1]), nil
	}
	err = json.Unmarshal(raw, &key)
	return key, err
}

// parseRecords reads a chunk's records. A take-over reads all of them: decoding them at
// once costs less than half of decoding each by UnmarshalJSON.
func parseRecords(plain []byte) ([]Record, error) {
	var all [][]json.RawMessage
	if err := json.Unmarshal(plain, &all); err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(all))
	for _, parts := range all {
		r, err := recordOf(parts)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Kinds of record, by the first letter of their keys.
const (
	KindJob          = 'j'
	KindPage         = 'p'
	KindMachine      = 'm'
	KindLaunch       = 'h'
	KindFleet        = 'f'
	KindMachineTypes = 'c'
)

// JobKey names a job's record.
func JobKey(id string) string { return "j" + id }

// PageKey names the record of one page of a job's tasks.
func PageKey(id string, page int) string { return "p" + id + "/" + strconv.Itoa(page) }

// MachineKey names a machine's record.
func MachineKey(n int) string { return "m" + strconv.Itoa(n) }

// LaunchKey names a rental's record.
func LaunchKey(name string) string { return "h" + name }

// FleetKey and MachineTypesKey name the two single records.
const (
	FleetKey        = "f"
	MachineTypesKey = "c"
)

// IsFinished tells whether a job's record is that of a finished job without attempts.
func IsFinished(r Record) (bool, error) {
	var job JobRecord
	if err := json.Unmarshal(r.Data, &job); err != nil {
		return false, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return job.Phase != Open && job.Spec == nil, nil
}
