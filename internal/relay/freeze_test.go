//go:build freeze

package relay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// TestFreeze writes a batch of requests and a batch of responses to the directory named by the environment variable
// FREEZE. The README.md of each directory in testdata describes its use.
func TestFreeze(t *testing.T) {
	write := func(name string, values []json.RawMessage, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.MarshalIndent(values, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(os.Getenv("FREEZE"), name), append(data, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	limits := storage.Limits{ValueBytes: 8192, TxnOps: 32}
	notice := 12.5
	requests := []wire.RelayRequest{
		{User: &api.Request{Op: api.OpSubmit, ID: "000007", Spec: clustertest.Array("000007", 2)}},
		{User: &api.Request{Op: api.OpCancel, ID: "000008"}},
		{Report: &worker.Report{
			Machine: 7, Addr: "10.0.0.7:9000", Type: "cpu", Zone: "a", Incarnation: 3, Seq: 9, Token: 4, NoticeSeconds: &notice,
			Tasks: []worker.TaskReport{
				{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 5, State: worker.Exited, Cause: worker.CauseGangMissing, Saved: true},
				{ID: worker.TaskID{Job: "000001", Task: 2}, Attempt: 6, State: worker.Gathering},
			},
		}},
	}
	values, err := encodeRequests(requests, 11, 12, limits)
	write("letters.json", values, err)

	responses := []wire.RelayResponse{
		{Answered: true, User: &api.Response{Code: api.CodeCreated, ID: "000007", ValidFor: time.Second}},
		{Answered: true, User: &api.Response{Code: api.CodeOK, ID: "000008", State: api.StateCancelled, Done: 1}},
		{Answered: true, Heartbeat: &worker.HeartbeatResponse{
			Accepted: true, Token: 4,
			Commands: []worker.Command{{Verb: worker.Stop, ID: worker.TaskID{Job: "000001", Task: 2}, Attempt: 6, GraceSeconds: 2.5}},
		}},
	}
	values, err = encodeResponses(responses, 11, 12, limits)
	write("replies.json", values, err)
}
