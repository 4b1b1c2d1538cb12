// Package upgrade decides what a fleet of controllers of several versions may write and
// do. Each controller registers the versions that it can read and write. The leader moves
// one durable record, the cluster record, by the pure transitions of this package: it
// activates a version and opens its feature gates once every controller has it, withdraws
// them when one goes back, and finalizes the version when the operators say so.
//
// Nothing in this package does input or output: coordination feeds it with what the state
// service and the peers tell, and carries its decisions out.
package upgrade

import "fmt"

// Version numbers what a controller reads, writes and does.
type Version uint32

// The versions so far.
const (
	// Version1 is commit 3661d31: arrays and services, plain journal chunks. It knows
	// nothing of registrations.
	Version1 Version = 1
	// Version2 adds gang jobs and compressed chunks. Commit af96c21 is the last of it
	// that knows nothing of registrations.
	Version2 Version = 2
	// Version3 registers, and obeys the cluster record.
	Version3 Version = 3
	// Version4 adds the archive of finished jobs.
	Version4 Version = 4
	// Version5 adds workers' tokens that are raised within a term.
	Version5 Version = 5
	// Version6 adds services that may be at zero.
	Version6 Version = 6

	// Baseline is active where no cluster record exists.
	Baseline = Version1
	// Current is this program's version.
	Current = Version6
)

// Range is the versions that a controller reads and writes.
type Range struct {
	Min Version `json:"min"`
	Max Version `json:"max"`
}

// Supported is this program's range.
var Supported = Range{Min: Baseline, Max: Current}

// Contains tells whether a version lies in the range.
func (r Range) Contains(v Version) bool { return r.Min <= v && v <= r.Max }

// String writes the range for operators.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// valid tells whether a range makes sense.
func (r Range) valid() bool { return r.Min >= 1 && r.Min <= r.Max }

// GateName names a feature gate.
type GateName string

// The gates of this program.
const (
	// GangJobs: jobs may be accepted whose tasks run all together.
	GangJobs GateName = "gang-jobs"
	// CompressedChunks: journal chunks may be compressed, and records written in
	// fragments.
	CompressedChunks GateName = "compressed-chunks"
	// JobArchive: finished jobs may leave the journal for the archive. Whoever can't read
	// that would take them for jobs that were never submitted.
	JobArchive GateName = "job-archive"
	// WorkerTokens: a worker's token may be raised within a term. Controllers that don't know
	// the range of tokens of a term don't renew the leases of such workers alone.
	WorkerTokens GateName = "worker-tokens"
	// Activation: services may be at zero. Whoever doesn't know their lifecycles would start them
	// without any demand.
	Activation GateName = "activation"
	// FencedTerm: the term record may be written in a form that keeps processes
	// that don't register from taking the lead. It is open only while every
	// controller registers.
	FencedTerm GateName = "fenced-term"
)

// Gate is a feature that is off until the fleet of controllers has it.
type Gate struct {
	Name      GateName
	Since     Version    // the version that brings it
	DependsOn []GateName // gates that must be open before it
}

// GateList is the gates that a program knows, each behind those it depends on.
type GateList []Gate

// Gates is this program's catalogue. Whatever registers knows the fence, so that is no
// matter of its version.
var Gates = GateList{
	{Name: FencedTerm, Since: Baseline},
	{Name: CompressedChunks, Since: Version2},
	{Name: GangJobs, Since: Version2},
	{Name: JobArchive, Since: Version4, DependsOn: []GateName{FencedTerm}},
	{Name: WorkerTokens, Since: Version5},
	{Name: Activation, Since: Version6, DependsOn: []GateName{FencedTerm}},
}

// find returns a gate by its name.
func (c GateList) find(name GateName) (Gate, bool) {
	for _, g := range c {
		if g.Name == name {
			return g, true
		}
	}
	return Gate{}, false
}

// UpTo returns the gates of the versions up to v: what a program of that version knows.
func (c GateList) UpTo(v Version) GateList {
	var known GateList
	for _, g := range c {
		if g.Since <= v {
			known = append(known, g)
		}
	}
	return known
}
