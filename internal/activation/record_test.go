package activation

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestDecodeReportsDamagedRecords(t *testing.T) {
	const key = "models/a"
	for value, wantReason := range map[string]string{
		`7`:                                 "not a lifecycle record",
		`{"state":1}`:                       "not a lifecycle record",
		`{"state":"stopping"}`:              "the generation is missing",
		`{"state":"starting"}`:              "the generation is missing",
		`{"state":"asleep","generation":1}`: `unknown state "asleep"`,
		`{"state":"starting","generation":1,"failures":-1}`:                   "the number of failures is negative",
		`{"state":"ready","generation":1,"abandoned":true}`:                   "the model is not being started",
		`{"state":"ready","generation":1,"wake_wanted":true,"unknown":[1,2]}`: "the model is not being stopped",
	} {
		t.Run(value, func(t *testing.T) {
			_, err := Decode(key, []byte(value))
			var damaged *DamagedError
			if !errors.As(err, &damaged) || damaged.Key != key || !strings.Contains(err.Error(), wantReason) {
				t.Errorf("got error %v, want a DamagedError for key %s with %q", err, key, wantReason)
			}
		})
	}
}

// FuzzDecode checks that every event can be applied to a decoded record, and that the result can be
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"state":"starting","generation":3,"failures":1,"abandoned":true,"since_ms":5}`), uint64(2))
	f.Add([]byte(`{"state":"draining","generation":3,"drain":9}`), uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, replica uint64) {
		r, err := Decode("key", data)
		if err != nil {
			return
		}
		now := time.UnixMilli(1e9)
		r, _ = r.Restore(replica, &testPolicy, now)
		for _, event := range []Event{
			Tick{},
			Tick{time.Hour},
			Demand{r.Generation},
			Reserved{r.Generation, 1},
			Serving{r.Generation, replica},
			ReplicaGone{r.Generation, replica, true},
			Quiet{r.Generation, now},
			Drained{r.Drain},
		} {
			next, _ := r.Apply(event, &testPolicy, now)
			raw, err := json.Marshal(next)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode("key", raw); err != nil && next.State != "" {
				t.Errorf("%s after %T can't be decoded again: %v", r, event, err)
			}
		}
	})
}
