package scheduler

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// relayClient is the actor of a follower's relay.
type relayClient struct {
	settings     *config.Settings
	svc          storage.KeyValueStore
	log          *slog.Logger
	queue        chan queuedRequest
	processID    uint64 // this process's own mark on its batches
	serial       uint64
	limiter      *rate.Limiter
	limitTracker *storage.LimitTracker
	lastAccepted clock.AtomicTime // when the state service last took a batch
}

type queuedRequest struct {
	wire.RelayRequest
	ctx   context.Context // ends when the sender no longer waits
	reply chan wire.RelayResponse
}

func newRelayClient(s *config.Settings, deps Dependencies, limitTracker *storage.LimitTracker) *relayClient {
	return &relayClient{
		limitTracker: limitTracker, settings: s, svc: deps.State, log: deps.Log, queue: make(chan queuedRequest, relayQueue), processID: deps.Rand.Uint64(),
		limiter: relayLimiter(s),
	}
}

func relayLimiter(s *config.Settings) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(s.State.ChangesPerS*relayShare), max(1, int(s.State.ChangesPerS*relayShare)))
}

func (m *relayClient) send(ctx context.Context, request wire.RelayRequest) wire.RelayResponse {
	p := queuedRequest{request, ctx, make(chan wire.RelayResponse, 1)}
	select {
	case m.queue <- p:
	default:
		return wire.RelayResponse{}
	}
	select {
	case r := <-p.reply:
		return r
	case <-ctx.Done():
		return wire.RelayResponse{}
	}
}

func (m *relayClient) user(ctx context.Context, req api.Request) api.Response {
	if r := m.send(ctx, wire.RelayRequest{User: &req}); r.Answered && r.User != nil {
		return *r.User
	}
	return api.Unavailable(req.ID, "leader out of reach")
}

// heartbeats relays reports; nil means that nobody has decided on them.
func (m *relayClient) heartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	var out []worker.HeartbeatResponse
	for _, report := range reports {
		r := m.send(ctx, wire.RelayRequest{Report: report})
		if !r.Answered || r.Heartbeat == nil {
			return nil
		}
		out = append(out, *r.Heartbeat)
	}
	return out
}

// run sends batch after batch, each once the one before it is over.
func (m *relayClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := m.gather(ctx)
		// Whose sender has given up is not worth the budget.
		batch = slices.DeleteFunc(batch, func(p queuedRequest) bool { return p.ctx.Err() != nil })
		for len(batch) > 0 && ctx.Err() == nil {
			batch = m.deliver(ctx, batch)
		}
	}
}

// gather takes the first request and those that come soon after. Users wait for
// their answers, so a user's request ends the gathering.
func (m *relayClient) gather(ctx context.Context) []queuedRequest {
	var batch []queuedRequest
	soon := make(<-chan time.Time)
	for len(batch) < relayBatchSize {
		select {
		case <-ctx.Done():
			return nil
		case p := <-m.queue:
			batch = append(batch, p)
			if p.User != nil {
				return m.drain(batch)
			}
			if len(batch) == 1 {
				soon = time.After(clock.Scale(m.settings.HeartbeatInterval, gatherPerHeartbeat))
			}
		case <-soon:
			return m.drain(batch)
		}
	}
	return batch
}

// drain adds what waits already.
func (m *relayClient) drain(batch []queuedRequest) []queuedRequest {
	for len(batch) < relayBatchSize {
		select {
		case p := <-m.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch, or the half of it that fits, and returns the rest.
func (m *relayClient) deliver(ctx context.Context, batch []queuedRequest) []queuedRequest {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	m.serial++
	n := len(batch)
	var values []json.RawMessage
	for ; n > 0; n /= 2 {
		requests := make([]wire.RelayRequest, 0, n)
		for _, p := range batch[:n] {
			requests = append(requests, p.RelayRequest)
		}
		var err error
		if values, err = encodeRequests(requests, m.processID, m.serial, m.limitTracker.Limits()); err != nil {
			m.log.Error("relay not encoded", "err", err)
		}
		if values != nil {
			break
		}
	}
	replies := make([]wire.RelayResponse, len(batch))
	if n > 0 {
		got, err := m.exchange(ctx, values)
		if err != nil {
			m.log.Debug("relay unanswered", "requests", n, "err", err)
		}
		copy(replies, got)
	} else {
		n = 1 // a single request that doesn't fit
	}
	for i, p := range batch[:n] {
		p.reply <- replies[i]
	}
	return batch[n:]
}

func (m *relayClient) exchange(ctx context.Context, values []json.RawMessage) ([]wire.RelayResponse, error) {
	if err := m.limiter.WaitN(ctx, min(len(values), m.limiter.Burst())); err != nil {
		return nil, err
	}
	rev, err := m.svc.Txn(ctx, nil, relayOps(relayRequestPrefix, m.settings.NodeName, values))
	if err != nil {
		m.limitTracker.Learn(err)
		return nil, err
	}
	m.lastAccepted.Mark(time.Now())
	prefix := relayResponsePrefix + m.settings.NodeName + "/"
	for {
		changes, next, err := m.svc.Watch(ctx, prefix, rev, relayTimeout)
		if err != nil {
			return nil, err
		}
		rev = next
		for _, fragments := range collectBatches(changes, relayResponsePrefix) {
			if fragments[0].Serial != m.serial || fragments[0].Run != m.processID {
				continue
			}
			return decodeResponses(fragments)
		}
	}
}
