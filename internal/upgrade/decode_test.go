package upgrade

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"testing"
)

// Records that no version wrote are called damaged, by their key; nothing is guessed.
func TestDamagedValuesAreNamed(t *testing.T) {
	for _, data := range []string{
		``, `null`, `7`, `[]`, `{}`, `{"schema":2,"active":1,"phase":"stable"}`,
		`{"schema":1,"active":0,"phase":"stable"}`, `{"schema":1,"active":1,"phase":"asleep"}`,
		`{"schema":1,"active":2,"minimum":3,"phase":"soaking"}`, `{"schema":1,"active":1,"phase":"stable","Active":3}`,
		`{"schema":1,"active":2,"phase":"soaking","gates":{"x":{"since":3,"phase":"open"}}}`,
		`{"schema":1,"active":2,"phase":"soaking","gates":{"x":{"since":1,"phase":"ajar"}}}`,
		`{"schema":1,"active":2,"phase":"soaking","gates":{"":{"since":1,"phase":"open"}}}`,
	} {
		var damaged *DamagedError
		if _, err := DecodeRecord("upgrade/cluster", []byte(data)); !errors.As(err, &damaged) || damaged.Key != "upgrade/cluster" {
			t.Errorf("record %s: %v", data, err)
		}
	}
	for _, data := range []string{
		``, `null`, `3`, `{}`, `{"schema":1,"node":"n1","session":"s","min":1,"max":3}`, `{"schema":1,"node":"n0","session":"s","min":3,"max":2}`,
		`{"schema":2,"node":"n0","session":"s","min":1,"max":3}`, `{"schema":1,"node":"n0","session":"s","min":0,"max":3}`,
	} {
		var damaged *DamagedError
		if _, err := DecodeRegistration("upgrade/node/n0", "n0", []byte(data)); !errors.As(err, &damaged) {
			t.Errorf("registration %s: %v", data, err)
		}
	}
	for _, data := range []string{``, `null`, `"7"`, `-1`, `{"t":1}`, `{"fence":2}`, `{"t":1,"fence":0}`} {
		var damaged *DamagedError
		if _, err := DecodeTerm("term", []byte(data)); !errors.As(err, &damaged) {
			t.Errorf("term %s: %v", data, err)
		}
	}
}

// What a later version wrote beside what is known survives a rewrite.
func TestUnknownFieldsSurviveARewrite(t *testing.T) {
	const later = `{"schema":1,"active":2,"phase":"soaking","term":4,"region":{"a":[1,2]},` +
		`"gates":{"gang-jobs":{"since":2,"phase":"open","owner":"x"},"from-the-future":{"since":2,"phase":"open","limit":7}}}`
	record, err := DecodeRecord("", []byte(later))
	if err != nil {
		t.Fatal(err)
	}
	next, err := MarkGateUsed(record, GangJobs, 5)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"region":{"a":[1,2]}`, `"owner":"x"`, `"limit":7`, `"used":true`, `"term":5`} {
		if !bytes.Contains(raw, []byte(want)) {
			t.Errorf("%s is missing in %s", want, raw)
		}
	}
}

// FuzzDecodeRecord: what is read is written and read back the same, unknown gates and
// fields included, and every decision on it is made without a panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"schema":1,"active":3,"minimum":2,"phase":"finalized","gates":{"gang-jobs":{"since":2,"phase":"open","used":true}},"fence":2,"term":9,"activated_ms":5}`))
	f.Add([]byte(`{"schema":1,"active":2,"phase":"withdrawing","gates":{"x":{"since":2,"phase":"withdrawing","y":1}},"z":[{}]}`))
	f.Add([]byte(`{"schema":1,"active":1,"phase":"stable","Active":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord("k", data)
		if err != nil {
			return
		}
		first, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeRecord("k", first)
		if err != nil {
			t.Fatalf("%s is read, written as %s and not read again: %v", data, first, err)
		}
		if second, err := json.Marshal(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%s is written as %s, then as %s (%v)", data, first, second, err)
		}
		_ = MayLead(record, Supported, Gates)
		_ = Admit(record, Supported, Policy{})
		registration := NewRegistration("n0", "1", Supported)
		step := Next(Situation{Record: record, Members: []Member{{Node: "n0", Registered: &registration}}, Versions: Supported, Known: Gates, Usage: Usage{}})
		if step.Changed {
			if reason := step.Record.inconsistency(); reason != "" {
				t.Fatalf("%s leads to a record that contradicts itself: %s", data, reason)
			}
		}
	})
}

// FuzzDecodeRegistration: a registration is read back as it was written.
func FuzzDecodeRegistration(f *testing.F) {
	f.Add("n0", []byte(`{"schema":1,"node":"n0","session":"00ff","min":1,"max":3}`))
	f.Add("n0", []byte(`{"schema":1,"node":"n0","min":1,"max":4294967296}`))
	f.Fuzz(func(t *testing.T, node string, data []byte) {
		registration, err := DecodeRegistration("k", node, data)
		if err != nil {
			return
		}
		raw, err := json.Marshal(registration)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := DecodeRegistration("k", node, raw); err != nil || again != registration {
			t.Fatalf("%s is read as %+v, then as %+v (%v)", data, registration, again, err)
		}
	})
}

// FuzzDecodeTerm: a term is read back as it was written, and a fenced one is nothing that
// a reader of bare numbers takes.
func FuzzDecodeTerm(f *testing.F) {
	f.Add([]byte(`7`))
	f.Add([]byte(`{"t":7,"fence":2}`))
	f.Add([]byte(` {"t":18446744073709551615,"fence":1} `))
	f.Fuzz(func(t *testing.T, data []byte) {
		term, err := DecodeTerm("k", data)
		if err != nil {
			return
		}
		raw, err := json.Marshal(term)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := DecodeTerm("k", raw); err != nil || again != term {
			t.Fatalf("%s is read as %+v, then as %+v (%v)", data, term, again, err)
		}
		var bare uint64
		if readable := json.Unmarshal(raw, &bare) == nil; readable != (term.Fence == 0) {
			t.Fatalf("%s with fence %d is read as a bare number: %v", raw, term.Fence, readable)
		}
	})
}

// What version 3 stores is frozen in testdata: it is read, and written again byte for byte.
func TestWhatVersion3StoredIsRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/version3.json")
	if err != nil {
		t.Fatal(err)
	}
	var stored map[string]json.RawMessage
	if err := json.Unmarshal(raw, &stored); err != nil {
		t.Fatal(err)
	}
	for key, decode := range map[string]func([]byte) (any, error){
		"cluster":   func(data []byte) (any, error) { return DecodeRecord("", data) },
		"node-0":    func(data []byte) (any, error) { return DecodeRegistration("", "node-0", data) },
		"term":      func(data []byte) (any, error) { return DecodeTerm("", data) },
		"bare term": func(data []byte) (any, error) { return DecodeTerm("", data) },
	} {
		value, err := decode(stored[key])
		if err != nil {
			t.Errorf("%s: %v", key, err)
			continue
		}
		if written, err := json.Marshal(value); err != nil || !bytes.Equal(written, stored[key]) {
			t.Errorf("%s is written as %s, %v", key, written, err)
		}
	}
}
