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

// Handler decides on relayed requests.
type Handler interface {
	HandleUserRequest(ctx context.Context, req api.Request) api.Response
	// HandleHeartbeats returns a response for each report; nil means that it doesn't decide on them.
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
	latest   map[string]batchID // by sender
}

// NewServer makes a server for a term; Run starts it. leader guards the responses.
func NewServer(settings *config.Settings, store storage.KeyValueStore, limits *storage.LimitTracker, leader storage.Guard, handler Handler, log *slog.Logger) *Server {
	return &Server{
		settings: settings, store: store, limits: limits, limiter: newLimiter(settings),
		leader: leader, handler: handler, log: log, latest: make(map[string]batchID),
	}
}

// Run answers requests until ctx ends.
func (s *Server) Run(ctx context.Context) {
	hold := s.settings.WorkerLease
	revision := s.leader.Version
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, 2*hold)
		changes, next, err := s.store.Watch(watchCtx, requestPrefix, revision, hold)
		cancel()
		if err != nil {
			revision = s.latestRevision(ctx, revision) // what was asked meanwhile is asked again
			clock.Sleep(ctx, s.settings.Tuning.LeaderLease/leadership.RenewalsPerLease)
			continue
		}
		revision = next
		for id, fragments := range collectBatches(changes, requestPrefix) {
			s.handleBatch(ctx, id, fragments)
		}
	}
}

// latestRevision returns the store's present revision, or the known one if it doesn't answer.
func (s *Server) latestRevision(ctx context.Context, known uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	_, _, latest, err := s.store.List(ctx, requestPrefix, "", 1)
	if err != nil {
		return known
	}
	return latest
}

func (s *Server) handleBatch(ctx context.Context, id batchID, fragments []fragment) {
	if !s.isLatest(id) {
		return
	}
	requests, err := decodeRequests(fragments)
	if err != nil {
		s.log.Error("relay batch decoding failed", "controller", id.sender, "error", err)
		return
	}
	s.answer(ctx, id, requests)
}

// isLatest notes a batch and reports whether it is the sender's latest. Who sent an earlier one has given up on
// it, and its reports may be old.
func (s *Server) isLatest(id batchID) bool {
	if last, ok := s.latest[id.sender]; ok && last.process == id.process && id.serial <= last.serial {
		return false
	}
	s.latest[id.sender] = id
	return true
}

// answer has the handler decide on a batch and writes the responses.
func (s *Server) answer(ctx context.Context, id batchID, requests []wire.RelayRequest) {
	decideCtx, cancel := context.WithTimeout(ctx, Timeout/2)
	defer cancel()
	responses := s.decide(decideCtx, requests)
	values, err := encodeResponses(responses, id.process, id.serial, s.limits.Limits())
	if err != nil || values == nil {
		s.log.Error("relay response failed", "controller", id.sender, "count", len(requests), "error", err)
		return
	}
	if err := s.limiter.WaitN(ctx, min(len(values), s.limiter.Burst())); err != nil {
		return // the term ends
	}
	if _, err := s.store.Txn(decideCtx, []storage.Guard{s.leader}, batchOps(responsePrefix, id.sender, values)); err != nil {
		s.limits.Observe(err)
		s.log.Debug("relay response failed", "controller", id.sender, "count", len(requests), "error", err)
		return
	}
	s.log.Debug("relay batch answered", "controller", id.sender, "count", len(requests))
}

// decide has the handler decide on all requests at once.
func (s *Server) decide(ctx context.Context, requests []wire.RelayRequest) []wire.RelayResponse {
	type decided struct {
		index    int
		response wire.RelayResponse
	}
	answers := make(chan decided, len(requests))
	for i, r := range requests {
		go func() { answers <- decided{i, s.decideOne(ctx, r)} }()
	}
	responses := make([]wire.RelayResponse, len(requests))
	for range requests {
		d := <-answers
		responses[d.index] = d.response
	}
	return responses
}

func (s *Server) decideOne(ctx context.Context, r wire.RelayRequest) wire.RelayResponse {
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
