package storage

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"sagevale/internal/upgrade"
)

// laterJob is a job record as a later version might write it.
const laterJob = `{"n":2,"a":5,"v":9,"region":{"x":1},"s":{"b":"sweep","n":2,"r":{"c":1},"tier":"gold"}}`

// A leader of an older version must keep the fields that it doesn't know when it rewrites a record
// of a newer version.
func TestRewriteKeepsFieldsOfLaterVersion(t *testing.T) {
	j := &Journal{index: newJournalIndex()}
	j.index.put("j1", entity{data: json.RawMessage(laterJob)})
	rewrite := func(job JobRecord) json.RawMessage {
		t.Helper()
		r, err := NewRecord("j1", job)
		if err != nil {
			t.Fatal(err)
		}
		return j.keepUnknownFields([]Record{r})[0].Data
	}
	open := rewrite(JobRecord{Tasks: 2, SubmittedMS: 5, DoneTasks: 1, Spec: &Spec{Class: "sweep", Tasks: 2, Resources: Resources{CPUs: 1}}})
	for _, want := range []string{`"region":{"x":1}`, `"tier":"gold"`, `"v":9`, `"d":1`} {
		if !bytes.Contains(open, []byte(want)) {
			t.Errorf("%s is missing in %s", want, open)
		}
	}
	j.index.put("j1", entity{data: open})
	if final := rewrite(JobRecord{Phase: PhaseDone, Tasks: 2}); !bytes.Contains(final, []byte(`"region"`)) || bytes.Contains(final, []byte("tier")) {
		t.Errorf("the record of the finished job is %s", final)
	}
	if removed := j.keepUnknownFields([]Record{{Key: "j1"}})[0]; removed.Data != nil {
		t.Errorf("the record of the removed job has data %s", removed.Data)
	}
}

// A rewritten record takes over no fields from the stored record if the stored record is of this or an
// earlier version, or if the unknown fields of the stored record can't be determined.
func TestRecordsOfKnownVersionsStayUnchanged(t *testing.T) {
	for _, old := range []string{`{"n":2,"extra":1}`, `{"n":2,"v":3,"extra":1}`, `{"n":2,"v":"x","extra":1}`, `[{"v":9}]`, `{"v":9,"N":7}`} {
		data := json.RawMessage(`{"n":4}`)
		if got := withUnknownFields(KindJob, json.RawMessage(old), data); !bytes.Equal(got, data) {
			t.Errorf("after %s: got %s, want %s", old, got, data)
		}
	}
}

// After a merge, known fields have their new values and unknown fields their old values.
func TestWithUnknownMergesFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"n", "a", "zz", "region", "weight", "x"})
		old := rapid.MapOf(names, rapid.IntRange(0, 99)).Draw(t, "old")
		old[schemaField] = rapid.IntRange(int(upgrade.Current)+1, 9).Draw(t, "schema")
		raw, err := json.Marshal(old)
		if err != nil {
			t.Fatal(err)
		}
		rewritten := MachineRecord{Addr: rapid.String().Draw(t, "addr"), Incarnation: rapid.Uint64().Draw(t, "session"), Images: map[string]float64{"i": 1}}
		data, err := json.Marshal(rewritten)
		if err != nil {
			t.Fatal(err)
		}
		merged := withUnknownFields(KindMachine, raw, data)
		var read, want MachineRecord
		if err := json.Unmarshal(merged, &read); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, want) {
			t.Fatalf("%s is read as %+v", merged, read)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(merged, &fields); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"zz", "region", "weight", "n", schemaField} {
			if _, was := old[name]; was && fields[name] == nil {
				t.Fatalf("%s is lost in %s", name, merged)
			}
		}
	})
}

// FuzzParseRecords checks that a decoded chunk keeps its keys, and its fragments at the same
// positions, when it is encoded and decoded again, also if it holds records of later versions. It
// also checks that merging the unknown fields of any record doesn't panic.
func FuzzParseRecords(f *testing.F) {
	f.Add([]byte(`[["j1",` + laterJob + `],["m3"],["p1/0","QUJD",0,2,77]]`))
	f.Add([]byte(`[["f",{"n":1,"t":2}],["\u0066",{}]]`))
	f.Add([]byte(`[["p",null,0,0,0]]`))
	f.Fuzz(func(t *testing.T, chunk []byte) {
		records, err := parseRecords(chunk)
		if err != nil {
			return
		}
		written, err := json.Marshal(records)
		if err != nil {
			t.Fatalf("%s is decoded but not encoded: %v", chunk, err)
		}
		again, err := parseRecords(written)
		if err != nil || len(again) != len(records) {
			t.Fatalf("%s is encoded as %s and decoded as %d records: %v", chunk, written, len(again), err)
		}
		for i, r := range records {
			if again[i].Key != r.Key || (again[i].fragment == nil) != (r.fragment == nil) {
				t.Fatalf("record %d of %s is %+v, then %+v", i, chunk, r, again[i])
			}
			if r.Key != "" && r.Data != nil {
				_ = withUnknownFields(r.Key[0], r.Data, json.RawMessage(`{"n":1}`))
			}
		}
	})
}
