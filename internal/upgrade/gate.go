package upgrade

import (
	"encoding/json"
	"fmt"
)

// GateName names a feature gate.
type GateName string

// The gates of this program.
const (
	// GangJobs allows jobs whose tasks run all at the same time to be accepted.
	GangJobs GateName = "gang-jobs"
	// CompressedChunks allows journal chunks to be compressed, and records to be written in
	// fragments.
	CompressedChunks GateName = "compressed-chunks"
	// JobArchive allows finished jobs to be moved from the journal to the archive. To a version
	// that can't read the archive such jobs were never submitted.
	JobArchive GateName = "job-archive"
	// WorkerTokens allows a worker's fencing token to be raised within a term. Versions without it
	// don't know the range of tokens of a term, and don't renew the leases of such workers under a
	// delegation.
	WorkerTokens GateName = "worker-tokens"
	// Activation allows services to scale to zero. A version that doesn't know their lifecycles
	// would start them without demand.
	Activation GateName = "activation"
	// FencedTerm allows the term record to be written in a form that keeps processes that don't
	// register from leading. It is open only while every controller registers.
	FencedTerm GateName = "fenced-term"
)

// Gate is a feature that stays off until every controller of the fleet supports it.
type Gate struct {
	Name      GateName
	Since     Version    // the version that adds the feature
	DependsOn []GateName // gates that must be open before it
}

// GateList is the gates that a program knows, each after those that it depends on.
type GateList []Gate

// Gates is the list of this program's gates. FencedTerm belongs to the baseline, because every version
// that registers supports it.
var Gates = GateList{
	{Name: FencedTerm, Since: Baseline},
	{Name: CompressedChunks, Since: Version2},
	{Name: GangJobs, Since: Version2},
	{Name: JobArchive, Since: Version4, DependsOn: []GateName{FencedTerm}},
	{Name: WorkerTokens, Since: Version5},
	{Name: Activation, Since: Version6, DependsOn: []GateName{FencedTerm}},
}

// find returns the gate of that name, and whether the list has it.
func (l GateList) find(name GateName) (Gate, bool) {
	for _, g := range l {
		if g.Name == name {
			return g, true
		}
	}
	return Gate{}, false
}

// UpTo returns the gates of the versions up to v, which are those that a program of version v knows.
func (l GateList) UpTo(v Version) GateList {
	var known GateList
	for _, g := range l {
		if g.Since <= v {
			known = append(known, g)
		}
	}
	return known
}

// GatePhase is the phase of a gate in the cluster record. A gate that isn't in the record is closed.
type GatePhase string

// The phases of a gate.
const (
	GateOpen        GatePhase = "open"
	GateWithdrawing GatePhase = "withdrawing" // no new uses; closed once the existing ones have ended
)

// GateState is a gate in the cluster record. The zero state is a closed gate.
type GateState struct {
	Since Version   `json:"since"`
	Phase GatePhase `json:"phase"`
	// Used reports whether something may depend on the gate. While it is false even a version
	// that doesn't know the gate may lead, and withdraw it.
	Used bool `json:"used,omitempty"`

	unknownFields UnknownFields
}

// gateFields are the JSON names of the fields of a GateState that this program knows.
var gateFields = FieldNames(GateState{})

// Usable reports whether something new may come to depend on the gate.
func (g GateState) Usable() bool { return g.Phase == GateOpen && g.Used }

// plainGateState is GateState without its methods, for encoding/json.
type plainGateState GateState

// MarshalJSON encodes the state together with the unknown fields that it was decoded with.
func (g GateState) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(plainGateState(g))
	if err != nil {
		return nil, err
	}
	return g.unknownFields.AddTo(known)
}

// UnmarshalJSON decodes a state and keeps the fields that this program doesn't know.
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

// GateClosedError reports that a gate may not be used.
type GateClosedError struct{ Gate GateName }

func (e *GateClosedError) Error() string { return fmt.Sprintf("gate %s is not open", e.Gate) }

// BlockedError reports why the uses of a gate can't be ended at present.
type BlockedError struct {
	Gate   GateName
	Reason string
}

func (e *BlockedError) Error() string { return fmt.Sprintf("gate %s: %s", e.Gate, e.Reason) }
