package upgrade

import (
	"bytes"
	"encoding/json"
)

// Term is the value of the term record, which a controller must read before it becomes the leader.
// While Record.Fence isn't 0, controllers that don't register must not lead. These controllers run old
// versions of the program, which store no Registration and don't read the cluster record. They expect a
// bare number as the term record, and don't lead if it contains anything else. A term with a fence is
// therefore stored as an object.
type Term struct {
	Number uint64  `json:"t"`
	Fence  Version `json:"fence"` // Record.Fence; 0: the term is stored as a bare number
}

// MarshalJSON encodes the term as a bare number, or as an object if it has a fence.
func (t Term) MarshalJSON() ([]byte, error) {
	if t.Fence == 0 {
		return json.Marshal(t.Number)
	}
	type fencedTerm Term
	return json.Marshal(fencedTerm(t))
}

// DecodeTerm decodes a term that was stored under key in either format. It returns a *DamagedError if
// the value has neither format.
func DecodeTerm(key string, data []byte) (Term, error) {
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		var number *uint64
		if err := json.Unmarshal(data, &number); err != nil || number == nil {
			return Term{}, &DamagedError{Key: key, Reason: "the value is neither a number nor a term with a fence"}
		}
		return Term{Number: *number}, nil
	}
	var fenced struct {
		Number *uint64 `json:"t"`
		Fence  Version `json:"fence"`
	}
	if err := json.Unmarshal(data, &fenced); err != nil || fenced.Number == nil || fenced.Fence == 0 {
		return Term{}, &DamagedError{Key: key, Reason: "the value is not a valid term with a fence"}
	}
	return Term{Number: *fenced.Number, Fence: fenced.Fence}, nil
}
