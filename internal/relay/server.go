package relay

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// Handler executes relayed requests.
type Handler interface {
	// HandleUserRequest executes a user's request and returns the response.
	HandleUserRequest(ctx context.Context, req api.Request) api.Response
	// HandleHeartbeats returns a response to each report. It returns nil if it leaves the heartbeats undecided: see
	// worker.HeartbeatResponse.
	HandleHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse
}

// Server is the leader's actor that answers relayed requests.
type Server struct {
	settings *config.Settings
	store    storage.KeyValueStore
	limits   *storage.LimitTracker
	limiter  *rate.Limiter
	leader   storage.Guard
	handler  Handler
	log      *slog.Logger
	latest   map[string]batchID // the latest batch of each sender
}

// NewServer returns a server for a term. Run starts it. leader guards the transactions that write responses.
func NewServer(settings *config.Settings, store storage.KeyValueStore, limits *storage.LimitTracker, leader storage.Guard, handler Handler, log *slog.Logger) *Server {
	return &Server{
		settings: settings, store: store, limits: limits, limiter: newLimiter(settings),
		leader: leader, handler: handler, log: log, latest: make(map[string]batchID),
	}
}

// Run answers requests until ctx ends.
func (s *Server) Run(ctx context.Context) {
	maxWait := s.settings.WorkerLease
	revision := s.leader.Version
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, 2*maxWait)
		changes, next, err := s.store.Watch(watchCtx, requestPrefix, revision, maxWait)
		cancel()
		if err != nil {
			revision = s.latestRevision(ctx, revision) // the senders of skipped requests time out and retry
			clock.Sleep(ctx, s.settings.Tuning.LeaderLease/leadership.RenewalsPerLease)
			continue
		}
		revision = next
		for id, fragments := range collectBatches(changes, requestPrefix) {
			s.handleBatch(ctx, id, fragments)
		}
	}
}

// latestRevision returns the store's current revision, or known if the store doesn't answer.
func (s *Server) latestRevision(ctx context.Context, known uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, BatchTimeout)
	defer cancel()
	_, _, latest, err := s.store.List(ctx, requestPrefix, "", 1)
	if err != nil {
		return known
	}
	return latest
}

// handleBatch answers a batch if it is the latest batch of its sender.
func (s *Server) handleBatch(ctx context.Context, id batchID, fragments []fragment) {
	if !s.recordIfLatest(id) {
		return
	}
	requests, err := decodeRequests(fragments)
	if err != nil {
		s.log.Error("relay batch decoding failed", "controller", id.sender, "error", err)
		return
	}
	s.answerBatch(ctx, id, requests)
}

// recordIfLatest reports whether a batch is the latest batch of its sender, and records the batch in that case. A batch
// that is older than the recorded one must not be executed: its sender no longer waits for the responses, and its workers'
// reports may be outdated.
func (s *Server) recordIfLatest(id batchID) bool {
	if last, ok := s.latest[id.sender]; ok && last.process == id.process && id.serial <= last.serial {
		return false
	}
	s.latest[id.sender] = id
	return true
}

// answerBatch passes the requests of a batch to the handler and writes the responses.
func (s *Server) answerBatch(ctx context.Context, id batchID, requests []wire.RelayRequest) {
	handleCtx, cancel := context.WithTimeout(ctx, BatchTimeout/2)
	defer cancel()
	responses := s.handleRequests(handleCtx, requests)
	values, err := encodeResponses(responses, id.process, id.serial, s.limits.Limits())
	if err != nil || values == nil {
		s.log.Error("relay response failed", "controller", id.sender, "count", len(requests), "error", err)
		return
	}
	if err := s.limiter.WaitN(ctx, min(len(values), s.limiter.Burst())); err != nil {
		return // the term ends
	}
	if _, err := s.store.Txn(handleCtx, []storage.Guard{s.leader}, batchOps(responsePrefix, id.sender, values)); err != nil {
		s.limits.Observe(err)
		s.log.Debug("relay response failed", "controller", id.sender, "count", len(requests), "error", err)
		return
	}
	s.log.Debug("relay batch answered", "controller", id.sender, "count", len(requests))
}

// handleRequests passes all requests to the handler concurrently and returns the responses in the order of the requests.
func (s *Server) handleRequests(ctx context.Context, requests []wire.RelayRequest) []wire.RelayResponse {
	type indexedResponse struct {
		index    int
		response wire.RelayResponse
	}
	answers := make(chan indexedResponse, len(requests))
	for i, r := range requests {
		go func() { answers <- indexedResponse{i, s.handleRequest(ctx, r)} }()
	}
	responses := make([]wire.RelayResponse, len(requests))
	for range requests {
		answer := <-answers
		responses[answer.index] = answer.response
	}
	return responses
}

// handleRequest passes one request to the handler and returns the response.
func (s *Server) handleRequest(ctx context.Context, r wire.RelayRequest) wire.RelayResponse {
	response := wire.RelayResponse{Answered: true}
	switch {
	case r.User != nil:
		user := s.handler.HandleUserRequest(ctx, *r.User)
		response.User = &user
	case r.Report != nil:
		heartbeat := worker.HeartbeatResponse{Undecided: true}
		if got := s.handler.HandleHeartbeats(ctx, []*worker.Report{r.Report}); len(got) > 0 {
			heartbeat = got[0]
		}
		response.Heartbeat = &heartbeat
	}
	return response
}
