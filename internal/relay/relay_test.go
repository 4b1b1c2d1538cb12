package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// Controllers of different versions relay requests through one store, so each must decode the batches of the others. Each
// directory of testdata holds batches that a build of one version wrote.
func TestBatchesOfEarlierVersionsAreRead(t *testing.T) {
	for _, version := range []string{"production", "769a0b2"} {
		t.Run(version, func(t *testing.T) {
			requests, err := decodeRequests(readTestdataBatch(t, version, "letters.json"))
			if err != nil {
				t.Fatal(err)
			}
			if len(requests) != 3 || requests[0].User.Spec.Tasks != 2 || requests[1].User.Op != api.OpCancel ||
				requests[2].Report.Tasks[0].Cause != worker.CauseGangMissing || requests[2].Report.Tasks[1].State != worker.Gathering || *requests[2].Report.NoticeSeconds != 12.5 {
				t.Errorf("requests %+v, want those of freeze_test.go", requests)
			}
			responses, err := decodeResponses(readTestdataBatch(t, version, "replies.json"))
			if err != nil {
				t.Fatal(err)
			}
			if len(responses) != 3 || responses[0].User.ValidFor != time.Second || responses[1].User.State != api.StateCancelled || responses[2].Heartbeat.Commands[0].GraceSeconds != 2.5 {
				t.Errorf("responses %+v, want those of freeze_test.go", responses)
			}
		})
	}
}

// readTestdataBatch reads the fragments of a batch that an earlier version wrote.
func readTestdataBatch(t *testing.T, version, name string) []fragment {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", version, name))
	if err != nil {
		t.Fatal(err)
	}
	var fragments []fragment
	if err := json.Unmarshal(data, &fragments); err != nil {
		t.Fatal(err)
	}
	return fragments
}

// A delayed batch may arrive among newer batches of its sender. The newer batches must not be lost. The delayed batch must
// be skipped, because the sender no longer waits for the responses to it.
func TestDelayedBatchIsOrderedBySerial(t *testing.T) {
	change := func(process, serial uint64, count, i int) storage.Item {
		data, err := json.Marshal(fragment{Process: process, Serial: serial, Count: count})
		if err != nil {
			t.Fatal(err)
		}
		return storage.Item{Key: batchOps(requestPrefix, "n1", make([]json.RawMessage, i+1))[i].Key, Data: data}
	}
	got := collectBatches([]storage.Item{change(1, 8, 2, 0), change(1, 8, 2, 1), change(1, 7, 1, 0), change(1, 6, 2, 0)}, requestPrefix)
	if len(got) != 2 || len(got[batchID{"n1", 1, 8}]) != 2 || len(got[batchID{"n1", 1, 7}]) != 1 {
		t.Errorf("collected %v, want both fragments of batch 8 and the only fragment of batch 7", got)
	}
	s := &Server{latest: make(map[string]batchID)}
	for _, c := range []struct {
		process, serial uint64
		want            bool
	}{{1, 8, true}, {1, 7, false}, {1, 8, false}, {1, 9, true}, {2, 1, true}} {
		if got := s.recordIfLatest(batchID{"n1", c.process, c.serial}); got != c.want {
			t.Errorf("recordIfLatest(batch %d of process %d) = %v, want %v", c.serial, c.process, got, c.want)
		}
	}
}

// fakeHandler answers every request and records the jobs of users' requests.
type fakeHandler struct {
	mu   sync.Mutex
	jobs []string
}

func (h *fakeHandler) HandleUserRequest(_ context.Context, req api.Request) api.Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs = append(h.jobs, req.ID)
	return api.Response{Code: api.CodeOK, ID: req.ID, State: api.StateRunning}
}

func (h *fakeHandler) HandleHeartbeats(_ context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	responses := make([]worker.HeartbeatResponse, len(reports))
	for i, r := range reports {
		responses[i] = worker.HeartbeatResponse{Accepted: true, Token: uint64(r.Machine)}
	}
	return responses
}

// requestedJobs returns the IDs of the jobs of the users' requests so far.
func (h *fakeHandler) requestedJobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.jobs)
}

// leaderFixture holds a key-value store, and the settings and the request handler of a leader with a relay server.
type leaderFixture struct {
	settings config.Settings
	client   *storagetest.Client
	handler  fakeHandler
}

// newLeaderFixture starts a relay server that runs until the test ends.
func newLeaderFixture(t *testing.T) *leaderFixture {
	t.Helper()
	service := storagetest.NewService()
	t.Cleanup(service.Close)
	s := &leaderFixture{settings: clustertest.Settings(), client: &storagetest.Client{Service: service, Disconnected: new(atomic.Bool)}}
	s.settings.NodeName = "n1"
	revision, err := s.client.Txn(t.Context(), nil, []storage.Op{{Key: "lead", Data: json.RawMessage(`{}`)}})
	if err != nil {
		t.Fatal(err)
	}
	leader := storage.Guard{Key: "lead", Version: revision}
	limits := storage.NewLimitTracker(s.settings.State)
	server := NewServer(&s.settings, s.client, limits, leader, &s.handler, slog.New(slog.DiscardHandler))
	runUntilEnd(t, server.Run)
	return s
}

// newClient starts a follower's relay client that runs until the test ends.
func (s *leaderFixture) newClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient(&s.settings, s.client, storage.NewLimitTracker(s.settings.State), 1, slog.New(slog.DiscardHandler))
	runUntilEnd(t, c.Run)
	return c
}

// runUntilEnd runs an actor in the background. At the end of the test it stops the actor and waits until it has returned.
func runUntilEnd(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// A batch that arrives after a newer batch of the same sender must not be executed: the sender no longer waits for the
// responses, and the heartbeats in the batch may be old.
func TestDelayedBatchIsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeaderFixture(t)
		send := func(serial uint64, job string) {
			request := wire.RelayRequest{User: &api.Request{Op: api.OpSubmit, ID: job, Spec: clustertest.Service(job, 1)}}
			values, err := encodeRequests([]wire.RelayRequest{request}, 1, serial, s.settings.State)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.client.Txn(t.Context(), nil, batchOps(requestPrefix, "n9", values)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
		}
		send(8, "000001")
		if got := s.handler.requestedJobs(); !slices.Equal(got, []string{"000001"}) {
			t.Fatalf("requests for jobs %v, want 000001", got)
		}
		send(7, "000002")
		if got := s.handler.requestedJobs(); !slices.Equal(got, []string{"000001"}) {
			t.Errorf("requests for jobs %v, want 000001 alone: an older batch was executed", got)
		}
	})
}

func TestRequestsAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLeaderFixture(t).newClient(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if r := c.HandleUserRequest(ctx, api.Request{Op: api.OpPoll, ID: "000001"}); r.Code != api.CodeOK || r.State != api.StateRunning {
			t.Errorf("HandleUserRequest() = %+v, want a running job", r)
		}
		responses := c.HandleHeartbeats(ctx, []*worker.Report{{Machine: 7}})
		if len(responses) != 1 || !responses[0].Accepted || responses[0].Token != 7 {
			t.Errorf("HandleHeartbeats() = %+v, want the leader's response", responses)
		}
		if since := c.SinceAccepted(time.Hour); since == time.Hour {
			t.Error("SinceAccepted() returned its default, want the time since the store accepted a batch")
		}
	})
}

func TestUnansweredRequestsAreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeaderFixture(t)
		c := s.newClient(t)
		s.client.Disconnected.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if r := c.HandleUserRequest(ctx, api.Request{Op: api.OpPoll, ID: "000001"}); r.Code != api.CodeUnavailable {
			t.Errorf("HandleUserRequest() = %+v, want unavailable", r)
		}
		if responses := c.HandleHeartbeats(ctx, []*worker.Report{{Machine: 7}}); responses != nil {
			t.Errorf("HandleHeartbeats() = %+v, want nil: no leader has responded", responses)
		}
	})
}
