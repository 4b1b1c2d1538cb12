package upgrade

import (
	"bytes"
	"encoding/json"
)

// Term is the value of the term record. Versions that don't register can read only a bare number, and
// don't lead when they find anything else. A term with a fence is therefore stored as an object,
// which keeps them from leading whatever they know of the cluster record.
type Term struct {
	Number uint64  `json:"t"`
	Fence  Version `json:"fence"` // 0: the term is stored as a bare number
}

// MarshalJSON encodes the term as a bare number, or as an object if it has a fence.
func (t Term) MarshalJSON() ([]byte, error) {
	if t.Fence == 0 {
		return json.Marshal(t.Number)
	}
	type fencedTerm Term
	return json.Marshal(fencedTerm(t))
}

// DecodeTerm decodes either form of the term, stored under key. It returns a *DamagedError if the
// value is neither.
func DecodeTerm(key string, data []byte) (Term, error) {
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		var number *uint64
		if err := json.Unmarshal(data, &number); err != nil || number == nil {
			return Term{}, &DamagedError{Key: key, Reason: "it is neither a number nor a fenced term"}
		}
		return Term{Number: *number}, nil
	}
	var fenced struct {
		Number *uint64 `json:"t"`
		Fence  Version `json:"fence"`
	}
	if err := json.Unmarshal(data, &fenced); err != nil || fenced.Number == nil || fenced.Fence == 0 {
		return Term{}, &DamagedError{Key: key, Reason: "it is no fenced term"}
	}
	return Term{Number: *fenced.Number, Fence: fenced.Fence}, nil
}
