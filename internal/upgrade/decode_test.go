package upgrade

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"testing"
)

// Values that no version can have written are reported as a DamagedError with their key.
func TestDecodeReportsDamagedValues(t *testing.T) {
	for _, c := range []struct {
		name   string
		key    string
		decode func(key string, data []byte) error
		values []string
	}{
		{
			"record", "upgrade/cluster",
			func(key string, data []byte) error { _, err := DecodeRecord(key, data); return err },
			[]string{
				``, `null`, `7`, `[]`, `{}`, `{"schema":2,"active":1,"phase":"stable"}`,
				`{"schema":1,"active":0,"phase":"stable"}`, `{"schema":1,"active":1,"phase":"asleep"}`,
				`{"schema":1,"active":2,"minimum":3,"phase":"soaking"}`, `{"schema":1,"active":1,"phase":"stable","Active":3}`,
				`{"schema":1,"active":2,"phase":"soaking","gates":{"x":{"since":3,"phase":"open"}}}`,
				`{"schema":1,"active":2,"phase":"soaking","gates":{"x":{"since":1,"phase":"ajar"}}}`,
				`{"schema":1,"active":2,"phase":"soaking","gates":{"":{"since":1,"phase":"open"}}}`,
			},
		},
		{
			"registration", "upgrade/node/n0",
			func(key string, data []byte) error { _, err := DecodeRegistration(key, "n0", data); return err },
			[]string{
				``, `null`, `3`, `{}`, `{"schema":1,"node":"n1","session":"s","min":1,"max":3}`, `{"schema":1,"node":"n0","session":"s","min":3,"max":2}`,
				`{"schema":2,"node":"n0","session":"s","min":1,"max":3}`, `{"schema":1,"node":"n0","session":"s","min":0,"max":3}`,
			},
		},
		{
			"term", "term",
			func(key string, data []byte) error { _, err := DecodeTerm(key, data); return err },
			[]string{``, `null`, `"7"`, `-1`, `{"t":1}`, `{"fence":2}`, `{"t":1,"fence":0}`},
		},
	} {
		for _, value := range c.values {
			t.Run(c.name+" "+value, func(t *testing.T) {
				var damaged *DamagedError
				if err := c.decode(c.key, []byte(value)); !errors.As(err, &damaged) || damaged.Key != c.key {
					t.Errorf("got error %v, want a DamagedError for key %s", err, c.key)
				}
			})
		}
	}
}

func TestUnknownFieldsSurviveRewrite(t *testing.T) {
	const laterRecord = `{"schema":1,"active":2,"phase":"soaking","term":4,"region":{"a":[1,2]},` +
		`"gates":{"gang-jobs":{"since":2,"phase":"open","owner":"x"},"from-the-future":{"since":2,"phase":"open","limit":7}}}`
	record, err := DecodeRecord("", []byte(laterRecord))
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
			t.Errorf("rewritten record lacks %s: %s", want, raw)
		}
	}
}

// testdata/version3.json holds values that version 3 stored. Decoding and encoding them must give the
// same bytes.
func TestVersion3ValuesAreReencodedUnchanged(t *testing.T) {
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
		t.Run(key, func(t *testing.T) {
			value, err := decode(stored[key])
			if err != nil {
				t.Fatal(err)
			}
			if got := encode(t, value); !bytes.Equal(got, stored[key]) {
				t.Errorf("got %s, want %s", got, stored[key])
			}
		})
	}
}

// encode returns a value encoded as JSON.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// FuzzDecodeRecord checks that a decoded record, including unknown gates and fields, stays the same when
// it is encoded and decoded again. It also checks that MayLead, Admit and NextStep don't panic on the
// record, and that the step that NextStep returns leads to a consistent record.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"schema":1,"active":3,"minimum":2,"phase":"finalized","gates":{"gang-jobs":{"since":2,"phase":"open","used":true}},"fence":2,"term":9,"activated_ms":5}`))
	f.Add([]byte(`{"schema":1,"active":2,"phase":"withdrawing","gates":{"x":{"since":2,"phase":"withdrawing","y":1}},"z":[{}]}`))
	f.Add([]byte(`{"schema":1,"active":1,"phase":"stable","Active":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord("k", data)
		if err != nil {
			return
		}
		first := encode(t, record)
		again, err := DecodeRecord("k", first)
		if err != nil {
			t.Fatalf("%s is encoded as %s, which can't be decoded: %v", data, first, err)
		}
		if second := encode(t, again); !bytes.Equal(first, second) {
			t.Fatalf("%s is encoded as %s, then as %s", data, first, second)
		}
		_ = MayLead(record, Supported, Gates)
		_ = Admit(record, Supported, Policy{})
		registration := NewRegistration("n0", "1", Supported)
		step := NextStep(Situation{Record: record, Members: []Member{{Node: "n0", Registration: &registration}}, Versions: Supported, KnownGates: Gates, Usage: Usage{}})
		if step.Changed {
			if reason := step.Record.inconsistency(); reason != "" {
				t.Fatalf("%s: step %q leads to an inconsistent record: %s", data, step.Description, reason)
			}
		}
	})
}

// FuzzDecodeRegistration checks that a decoded registration stays the same when it is encoded and decoded
// again.
func FuzzDecodeRegistration(f *testing.F) {
	f.Add("n0", []byte(`{"schema":1,"node":"n0","session":"00ff","min":1,"max":3}`))
	f.Add("n0", []byte(`{"schema":1,"node":"n0","min":1,"max":4294967296}`))
	f.Fuzz(func(t *testing.T, node string, data []byte) {
		registration, err := DecodeRegistration("k", node, data)
		if err != nil {
			return
		}
		if again, err := DecodeRegistration("k", node, encode(t, registration)); err != nil || again != registration {
			t.Fatalf("%s is decoded as %+v, then as %+v (error %v)", data, registration, again, err)
		}
	})
}

// FuzzDecodeTerm checks that a decoded term stays the same when it is encoded and decoded again. It also
// checks that the term is encoded as a bare number exactly if it has no fence.
func FuzzDecodeTerm(f *testing.F) {
	f.Add([]byte(`7`))
	f.Add([]byte(`{"t":7,"fence":2}`))
	f.Add([]byte(` {"t":18446744073709551615,"fence":1} `))
	f.Fuzz(func(t *testing.T, data []byte) {
		term, err := DecodeTerm("k", data)
		if err != nil {
			return
		}
		raw := encode(t, term)
		if again, err := DecodeTerm("k", raw); err != nil || again != term {
			t.Fatalf("%s is decoded as %+v, then as %+v (error %v)", data, term, again, err)
		}
		var bare uint64
		if isNumber := json.Unmarshal(raw, &bare) == nil; isNumber != (term.Fence == 0) {
			t.Fatalf("%s with fence %d decodes as a bare number: got %v, want %v", raw, term.Fence, isNumber, term.Fence == 0)
		}
	})
}
