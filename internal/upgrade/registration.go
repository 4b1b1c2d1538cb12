package upgrade

import (
	"encoding/json"
	"fmt"
)

// Registration is the entry that a controller's process stores about itself. It stays stored after the
// process has ended, until the controller's next process replaces it.
type Registration struct {
	Schema  int    `json:"schema"`
	Node    string `json:"node"`
	Session string `json:"session"` // unique to each process
	Range
}

// NewRegistration returns the registration of a process with the given compatibility range.
func NewRegistration(node, session string, versions Range) Registration {
	return Registration{Schema: recordSchema, Node: node, Session: session, Range: versions}
}

// DecodeRegistration decodes the registration of a node that was stored under key. It returns a
// *DamagedError if the value is not a valid registration of that node.
func DecodeRegistration(key, node string, data []byte) (Registration, error) {
	var reg Registration
	if err := json.Unmarshal(data, &reg); err != nil {
		return Registration{}, &DamagedError{Key: key, Reason: "the value is not a registration"}
	}
	switch {
	case reg.Schema != recordSchema:
		return Registration{}, &DamagedError{Key: key, Reason: fmt.Sprintf("schema %d is not known, only %d", reg.Schema, recordSchema)}
	case reg.Node != node:
		return Registration{}, &DamagedError{Key: key, Reason: fmt.Sprintf("the registration is for node %q", reg.Node)}
	case !reg.valid():
		return Registration{}, &DamagedError{Key: key, Reason: fmt.Sprintf("versions %s are not a valid range", reg.Range)}
	}
	return reg, nil
}
