package relay

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

const (
	// queueSize bounds what waits for the next batch: what a few batches carry before those who wait give
	// up. What is rejected is answered by delegation at once, or elsewhere.
	queueSize = 512
	// gatherPerHeartbeat is how long a batch of heartbeats gathers, in heartbeat intervals.
	gatherPerHeartbeat = 0.1
)

// Client is the actor of a follower's relay. Its methods may be called from any goroutine.
type Client struct {
	settings     *config.Settings
	store        storage.KeyValueStore
	limits       *storage.LimitTracker
	limiter      *rate.Limiter
	log          *slog.Logger
	queue        chan queuedRequest
	process      uint64 // marks this process's batches
	serial       uint64
	lastAccepted clock.AtomicTime
}

// queuedRequest is a request that waits for a batch.
type queuedRequest struct {
	wire.RelayRequest
	ctx   context.Context //nolint:containedctx // ends when the caller no longer waits: such a request isn't sent
	reply chan<- wire.RelayResponse
}

// NewClient makes a client; Run starts it. process marks its batches, unlike those of any other process.
func NewClient(settings *config.Settings, store storage.KeyValueStore, limits *storage.LimitTracker, process uint64, log *slog.Logger) *Client {
	return &Client{
		settings: settings, store: store, limits: limits, limiter: newLimiter(settings), log: log,
		queue: make(chan queuedRequest, queueSize), process: process,
	}
}

// HandleUserRequest relays a user's request to the leader.
func (c *Client) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	if r := c.send(ctx, wire.RelayRequest{User: &req}); r.Answered && r.User != nil {
		return *r.User
	}
	return api.Unavailable(req.ID, "leader out of reach")
}

// HandleHeartbeats relays workers' heartbeats to the leader; nil means that nobody has decided on them.
func (c *Client) HandleHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	var responses []worker.HeartbeatResponse
	for _, report := range reports {
		r := c.send(ctx, wire.RelayRequest{Report: report})
		if !r.Answered || r.Heartbeat == nil {
			return nil
		}
		responses = append(responses, *r.Heartbeat)
	}
	return responses
}

// SinceAccepted is how long ago the key-value store last accepted a batch, or never if it has accepted none.
func (c *Client) SinceAccepted(never time.Duration) time.Duration { return c.lastAccepted.Since(never) }

func (c *Client) send(ctx context.Context, request wire.RelayRequest) wire.RelayResponse {
	reply := make(chan wire.RelayResponse, 1)
	select {
	case c.queue <- queuedRequest{RelayRequest: request, ctx: ctx, reply: reply}:
	default:
		return wire.RelayResponse{}
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return wire.RelayResponse{}
	}
}

// Run sends batch after batch, each once the one before it is over, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := c.gather(ctx)
		batch = slices.DeleteFunc(batch, func(q queuedRequest) bool { return q.ctx.Err() != nil })
		for len(batch) > 0 && ctx.Err() == nil {
			batch = c.deliver(ctx, batch)
		}
	}
}

// gather takes the first request and those that come soon after. Users wait for their responses, so a user's
// request ends the gathering.
func (c *Client) gather(ctx context.Context) []queuedRequest {
	var batch []queuedRequest
	var soon <-chan time.Time
	for len(batch) < maxBatchSize {
		select {
		case <-ctx.Done():
			return nil
		case q := <-c.queue:
			batch = append(batch, q)
			if q.User != nil {
				return c.takeQueued(batch)
			}
			if len(batch) == 1 {
				soon = time.After(clock.Scale(c.settings.HeartbeatInterval, gatherPerHeartbeat))
			}
		case <-soon:
			return c.takeQueued(batch)
		}
	}
	return batch
}

// takeQueued adds what waits already.
func (c *Client) takeQueued(batch []queuedRequest) []queuedRequest {
	for len(batch) < maxBatchSize {
		select {
		case q := <-c.queue:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch, or as much of it as fits, and returns the rest.
func (c *Client) deliver(ctx context.Context, batch []queuedRequest) []queuedRequest {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	c.serial++
	n, values := c.encode(batch)
	responses := make([]wire.RelayResponse, len(batch))
	if n > 0 {
		got, err := c.exchange(ctx, values)
		if err != nil {
			c.log.Debug("relay batch unanswered", "count", n, "error", err)
		}
		copy(responses, got)
	} else {
		n = 1 // a single request that doesn't fit
	}
	for i, q := range batch[:n] {
		q.reply <- responses[i]
	}
	return batch[n:]
}

// encode encodes a batch, or the largest half, quarter and so on of it that fits; n is 0 if not even one request
// does.
func (c *Client) encode(batch []queuedRequest) (n int, values []json.RawMessage) {
	for n = len(batch); n > 0; n /= 2 {
		requests := make([]wire.RelayRequest, 0, n)
		for _, q := range batch[:n] {
			requests = append(requests, q.RelayRequest)
		}
		values, err := encodeRequests(requests, c.process, c.serial, c.limits.Limits())
		if err != nil {
			c.log.Error("relay batch encoding failed", "error", err)
		}
		if values != nil {
			return n, values
		}
	}
	return 0, nil
}

// exchange writes a batch and waits for the responses to it.
func (c *Client) exchange(ctx context.Context, values []json.RawMessage) ([]wire.RelayResponse, error) {
	if err := c.limiter.WaitN(ctx, min(len(values), c.limiter.Burst())); err != nil {
		return nil, err
	}
	revision, err := c.store.Txn(ctx, nil, batchOps(requestPrefix, c.settings.NodeName, values))
	if err != nil {
		c.limits.Observe(err)
		return nil, err
	}
	c.lastAccepted.Mark(time.Now())
	prefix := responsePrefix + c.settings.NodeName + "/"
	for {
		changes, next, err := c.store.Watch(ctx, prefix, revision, Timeout)
		if err != nil {
			return nil, err
		}
		revision = next
		for id, fragments := range collectBatches(changes, responsePrefix) {
			if id.serial == c.serial && id.process == c.process {
				return decodeResponses(fragments)
			}
		}
	}
}
