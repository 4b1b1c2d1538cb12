package upgrade

import "fmt"

// Version numbers what a controller reads, writes and does.
type Version uint32

// The versions so far.
const (
	// Version1 is commit 3661d31: job arrays and services, uncompressed journal chunks. It doesn't
	// register.
	Version1 Version = 1
	// Version2 adds gang jobs and compressed chunks. Commit af96c21 is the last one of this version
	// that doesn't register.
	Version2 Version = 2
	// Version3 registers and obeys the cluster record.
	Version3 Version = 3
	// Version4 adds the archive of finished jobs.
	Version4 Version = 4
	// Version5 adds fencing tokens of workers that are raised within a term.
	Version5 Version = 5
	// Version6 adds services that scale to zero.
	Version6 Version = 6

	// Baseline is the active version where no cluster record exists.
	Baseline = Version1
	// Current is this program's version.
	Current = Version6
)

// Range is the compatibility range of a controller: the versions that it can read and write, from
// Min to Max inclusive.
type Range struct {
	Min Version `json:"min"`
	Max Version `json:"max"`
}

// Supported is this program's compatibility range.
var Supported = Range{Min: Baseline, Max: Current}

// Contains reports whether a version lies in the range.
func (r Range) Contains(v Version) bool { return r.Min <= v && v <= r.Max }

// String formats the range for operators.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// valid reports whether the range is one that a controller can have.
func (r Range) valid() bool { return r.Min >= 1 && r.Min <= r.Max }
