package upgrade

import "fmt"

// Version identifies the data formats and the behavior of a controller. Newer programs have higher versions.
type Version uint32

// The versions that have been defined so far.
const (
	// Version1 is commit 3661d31. It runs job arrays and services, writes uncompressed journal
	// chunks, and doesn't register: it stores no Registration.
	Version1 Version = 1
	// Version2 adds gang jobs and compressed chunks. Commit af96c21 is the last commit of this
	// version that doesn't register.
	Version2 Version = 2
	// Version3 stores a Registration and uses only the gates that the cluster record permits.
	Version3 Version = 3
	// Version4 adds the archive of finished jobs.
	Version4 Version = 4
	// Version5 allows the fencing token of a worker to be raised within a term.
	Version5 Version = 5
	// Version6 adds services that scale to zero.
	Version6 Version = 6

	// Baseline is the active version while no cluster record exists.
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

// Contains reports whether a version is at least Min and at most Max.
func (r Range) Contains(v Version) bool { return r.Min <= v && v <= r.Max }

// String formats the range for operators.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// valid reports whether the range is not empty and doesn't contain version 0, which doesn't exist.
func (r Range) valid() bool { return r.Min >= 1 && r.Min <= r.Max }
