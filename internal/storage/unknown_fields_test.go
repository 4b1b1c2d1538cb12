package storage

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"sagevale/internal/upgrade"
)

// laterJob is a job's record as a later version might write it.
const laterJob = `{"n":2,"a":5,"v":9,"region":{"x":1},"s":{"b":"sweep","n":2,"r":{"c":1},"tier":"gold"}}`

// An older leader rewrites what a newer one wrote: nothing that it doesn't know is lost.
func TestAnOlderLeaderKeepsWhatANewerWrote(t *testing.T) {
	j := &Journal{entities: map[string]entity{"j1": {data: json.RawMessage(laterJob)}}}
	rewritten, err := NewRecord("j1", JobRecord{Tasks: 2, SubmittedMS: 5, DoneTasks: 1, Spec: &Spec{Class: "sweep", Tasks: 2, Resources: Resources{CPUs: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	got := j.keepUnknown([]Record{rewritten})[0].Data
	for _, want := range []string{`"region":{"x":1}`, `"tier":"gold"`, `"v":9`, `"d":1`} {
		if !bytes.Contains(got, []byte(want)) {
			t.Errorf("%s is missing in %s", want, got)
		}
	}
	final, err := NewRecord("j1", JobRecord{Phase: Done, Tasks: 2})
	if err != nil {
		t.Fatal(err)
	}
	j.entities["j1"] = entity{data: got}
	if got := j.keepUnknown([]Record{final})[0].Data; !bytes.Contains(got, []byte(`"region"`)) || bytes.Contains(got, []byte("tier")) {
		t.Errorf("a final record is %s", got)
	}
	if gone := j.keepUnknown([]Record{{Key: "j1"}})[0]; gone.Data != nil {
		t.Errorf("a removed record is %s", gone.Data)
	}
}

// Records of this version and before are not searched, and stay as they are.
func TestRecordsOfKnownVersionsStayAsTheyAre(t *testing.T) {
	for _, old := range []string{`{"n":2,"extra":1}`, `{"n":2,"v":3,"extra":1}`, `{"n":2,"v":"x","extra":1}`, `[{"v":9}]`, `{"v":9,"N":7}`} {
		data := json.RawMessage(`{"n":4}`)
		if got := withUnknown(KindJob, json.RawMessage(old), data); !bytes.Equal(got, data) {
			t.Errorf("%s makes of it %s", old, got)
		}
	}
}

// Whatever a later version wrote: what is known is what was written now, and what isn't is
// what was there before.
func TestKeepingUnknownFieldsIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"n", "a", "zz", "region", "weight", "x"})
		old := rapid.MapOf(names, rapid.IntRange(0, 99)).Draw(t, "old")
		old[schemaField] = rapid.IntRange(int(upgrade.Current)+1, 9).Draw(t, "schema")
		raw, err := json.Marshal(old)
		if err != nil {
			t.Fatal(err)
		}
		now := MachineRecord{Addr: rapid.String().Draw(t, "addr"), Incarnation: rapid.Uint64().Draw(t, "session"), Images: map[string]float64{"i": 1}}
		data, err := json.Marshal(now)
		if err != nil {
			t.Fatal(err)
		}
		merged := withUnknown(KindMachine, raw, data)
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

// FuzzParseRecords: a chunk that is read is written and read back the same, fragments and
// records of later versions included.
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
			t.Fatalf("%s is read and not written: %v", chunk, err)
		}
		again, err := parseRecords(written)
		if err != nil || len(again) != len(records) {
			t.Fatalf("%s is written as %s and read as %d records: %v", chunk, written, len(again), err)
		}
		for i, r := range records {
			if again[i].Key != r.Key || (again[i].fragment == nil) != (r.fragment == nil) {
				t.Fatalf("record %d of %s is %+v, then %+v", i, chunk, r, again[i])
			}
			if r.Key != "" && r.Data != nil {
				_ = withUnknown(r.Key[0], r.Data, json.RawMessage(`{"n":1}`))
			}
		}
	})
}
