package upgrade

import (
	"bytes"
	"encoding/json"
)

// Term is the value of the term record. Versions that don't register read a bare number
// only, and take no lead when they find anything else. So a term that carries a fence
// keeps them from leading, whatever they believe.
type Term struct {
	Number uint64  `json:"t"`
	Fence  Version `json:"fence"` // 0: the term is written as a bare number
}

// MarshalJSON writes a bare number unless there is a fence.
func (t Term) MarshalJSON() ([]byte, error) {
	if t.Fence == 0 {
		return json.Marshal(t.Number)
	}
	type fenced Term
	return json.Marshal(fenced(t))
}

// DecodeTerm reads either form of the term, stored under key.
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
