package upgrade

import (
	"encoding/json"
	"fmt"
)

// GateName names a feature gate.
type GateName string

// The gates of this program.
const (
	// GangJobs allows the leader to accept gang jobs, whose tasks all run at the same time.
	GangJobs GateName = "gang-jobs"
	// CompressedChunks allows chunks of the journal to be compressed, and journal records that don't fit
	// into one chunk to be split into fragments.
	CompressedChunks GateName = "compressed-chunks"
	// JobArchive allows finished jobs to be moved from the journal to the archive. A version that
	// can't read the archive treats such jobs as never submitted.
	JobArchive GateName = "job-archive"
	// WorkerTokens allows a worker's fencing token to be raised within a leader's term. A version without
	// this gate doesn't support several tokens in one term. When the leader has delegated the renewal
	// of worker leases to a controller of such a version, this controller doesn't renew the leases of
	// workers with a raised token.
	WorkerTokens GateName = "worker-tokens"
	// Activation allows services to scale to zero. A version that doesn't support service lifecycles
	// would start these services without demand.
	Activation GateName = "activation"
	// FencedTerm allows the term record to be written in a format that prevents processes that don't
	// register from leading: see Term. The gate is opened only when every controller registers.
	FencedTerm GateName = "fenced-term"
)

// Gate is a feature gate. The feature stays off until every controller of the fleet supports the feature.
type Gate struct {
	Name      GateName
	Since     Version    // first version that supports the feature
	DependsOn []GateName // gates that must be open before this gate may be opened
}

// GateList lists the gates that a program supports. Each gate comes after the gates that it depends on.
type GateList []Gate

// Gates lists the gates of this program. FencedTerm needs no version above the baseline: it is opened only
// when every controller registers, and every version that registers supports it.
var Gates = GateList{
	{Name: FencedTerm, Since: Baseline},
	{Name: CompressedChunks, Since: Version2},
	{Name: GangJobs, Since: Version2},
	{Name: JobArchive, Since: Version4, DependsOn: []GateName{FencedTerm}},
	{Name: WorkerTokens, Since: Version5},
	{Name: Activation, Since: Version6, DependsOn: []GateName{FencedTerm}},
}

// find returns the gate with the given name, and whether the list contains it.
func (l GateList) find(name GateName) (Gate, bool) {
	for _, g := range l {
		if g.Name == name {
			return g, true
		}
	}
	return Gate{}, false
}

// UpTo returns the gates that a program of version v supports: those that were added by version v or by an
// earlier version.
func (l GateList) UpTo(v Version) GateList {
	var known GateList
	for _, g := range l {
		if g.Since <= v {
			known = append(known, g)
		}
	}
	return known
}

// GatePhase is the phase of a gate in the cluster record. A gate that the record doesn't list is closed.
type GatePhase string

// The phases of a gate.
const (
	GateOpen        GatePhase = "open"
	GateWithdrawing GatePhase = "withdrawing" // no new uses; the gate is closed once the existing uses have ended
)

// GateState is the state of a gate in the cluster record. The zero value is a closed gate.
type GateState struct {
	Since Version   `json:"since"`
	Phase GatePhase `json:"phase"`
	// Used reports whether stored data may depend on the gate. While Used is false, a version that
	// doesn't support the gate may lead, and may withdraw the gate.
	Used bool `json:"used,omitempty"`

	unknownFields UnknownFields
}

// gateFields lists the JSON names of the GateState fields that this program defines.
var gateFields = FieldNames(GateState{})

// Usable reports whether new data may depend on the gate.
func (g GateState) Usable() bool { return g.Phase == GateOpen && g.Used }

// plainGateState is GateState without its methods, so that encoding/json uses the default encoding.
type plainGateState GateState

// MarshalJSON encodes the state together with the unknown fields that UnmarshalJSON found in it.
func (g GateState) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(plainGateState(g))
	if err != nil {
		return nil, err
	}
	return g.unknownFields.AddTo(known)
}

// UnmarshalJSON decodes a state and keeps the fields that this program doesn't define.
func (g *GateState) UnmarshalJSON(data []byte) error {
	var plain plainGateState
	if err := json.Unmarshal(data, &plain); err != nil {
		return err
	}
	unknown, err := FindUnknown(data, gateFields)
	if err != nil {
		return err
	}
	*g = GateState(plain)
	g.unknownFields = unknown
	return nil
}

// GateClosedError reports that a gate can't be used because it isn't open.
type GateClosedError struct{ Gate GateName }

func (e *GateClosedError) Error() string { return fmt.Sprintf("gate %s is not open", e.Gate) }

// BlockedError reports why the existing uses of a gate currently can't be ended.
type BlockedError struct {
	Gate   GateName
	Reason string
}

func (e *BlockedError) Error() string { return fmt.Sprintf("gate %s: %s", e.Gate, e.Reason) }
