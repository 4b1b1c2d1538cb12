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
	// queueSize is the maximum number of requests that wait for the next batch. It is about the number of requests
	// that can be relayed, in a few batches, before their callers time out. While the queue is full, further requests
	// aren't relayed. A heartbeat can then be answered by delegation at once, that is, by this controller in the
	// leader's place. A user's request can be sent to another controller.
	queueSize = 512
	// gatherShare is how long heartbeats are gathered for a batch, as a share of the heartbeat interval.
	gatherShare = 0.1
)

// Client is the actor that relays a follower's requests to the leader. Its methods may be called from any goroutine.
type Client struct {
	settings     *config.Settings
	store        storage.KeyValueStore
	limits       *storage.LimitTracker
	limiter      *rate.Limiter
	log          *slog.Logger
	queue        chan queuedRequest
	process      uint64 // identifies this process in its batches
	serial       uint64
	lastAccepted clock.AtomicTime
}

// queuedRequest is a request that waits for a batch.
type queuedRequest struct {
	wire.RelayRequest
	ctx   context.Context //nolint:containedctx // a request isn't sent once its caller no longer waits
	reply chan<- wire.RelayResponse
}

// NewClient returns a client. Run starts it. process identifies this process in the client's batches and must differ
// from that of any other process.
func NewClient(settings *config.Settings, store storage.KeyValueStore, limits *storage.LimitTracker, process uint64, log *slog.Logger) *Client {
	return &Client{
		settings: settings, store: store, limits: limits, limiter: newLimiter(settings), log: log,
		queue: make(chan queuedRequest, queueSize), process: process,
	}
}

// HandleUserRequest relays a user's request to the leader and returns the leader's response.
func (c *Client) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	if r := c.sendRequest(ctx, wire.RelayRequest{User: &req}); r.Answered && r.User != nil {
		return *r.User
	}
	return api.Unavailable(req.ID, "leader out of reach")
}

// HandleHeartbeats relays workers' heartbeats to the leader and returns the responses. It returns nil if any of the
// heartbeats got no response.
func (c *Client) HandleHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	var responses []worker.HeartbeatResponse
	for _, report := range reports {
		r := c.sendRequest(ctx, wire.RelayRequest{Report: report})
		if !r.Answered || r.Heartbeat == nil {
			return nil
		}
		responses = append(responses, *r.Heartbeat)
	}
	return responses
}

// SinceAccepted returns the time since the key-value store last accepted a batch. If the store has accepted no batch, it
// returns the argument never.
func (c *Client) SinceAccepted(never time.Duration) time.Duration { return c.lastAccepted.Since(never) }

// sendRequest queues a request and waits for its response. The response is zero if the queue is full or ctx ends.
func (c *Client) sendRequest(ctx context.Context, request wire.RelayRequest) wire.RelayResponse {
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

// Run sends batches until ctx ends. It sends the next batch once the current batch has been answered or has timed out.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := c.gatherBatch(ctx)
		batch = slices.DeleteFunc(batch, func(q queuedRequest) bool { return q.ctx.Err() != nil })
		for len(batch) > 0 && ctx.Err() == nil {
			batch = c.deliverBatch(ctx, batch)
		}
	}
}

// gatherBatch waits for a request and adds the requests that arrive soon after it. A user waits for the response, so
// a user's request ends the wait at once.
func (c *Client) gatherBatch(ctx context.Context) []queuedRequest {
	var batch []queuedRequest
	var gatherTimeout <-chan time.Time
	for len(batch) < maxBatchRequests {
		select {
		case <-ctx.Done():
			return nil
		case q := <-c.queue:
			batch = append(batch, q)
			if q.User != nil {
				return c.takeQueued(batch)
			}
			if len(batch) == 1 {
				gatherTimeout = time.After(clock.Scale(c.settings.HeartbeatInterval, gatherShare))
			}
		case <-gatherTimeout:
			return c.takeQueued(batch)
		}
	}
	return batch
}

// takeQueued adds the requests that are in the queue already, up to the maximum size of a batch.
func (c *Client) takeQueued(batch []queuedRequest) []queuedRequest {
	for len(batch) < maxBatchRequests {
		select {
		case q := <-c.queue:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

// deliverBatch sends the first requests of a batch, as many as encodeFittingPart selects, and passes the responses to
// the callers of these requests. It returns the remaining requests.
func (c *Client) deliverBatch(ctx context.Context, batch []queuedRequest) []queuedRequest {
	ctx, cancel := context.WithTimeout(ctx, BatchTimeout)
	defer cancel()
	c.serial++
	n, values := c.encodeFittingPart(batch)
	responses := make([]wire.RelayResponse, len(batch))
	if n > 0 {
		got, err := c.exchangeBatch(ctx, values)
		if err != nil {
			c.log.Debug("relay batch unanswered", "count", n, "error", err)
		}
		copy(responses, got)
	} else {
		n = 1 // the first request doesn't fit even alone; its caller gets the zero response
	}
	for i, q := range batch[:n] {
		q.reply <- responses[i]
	}
	return batch[n:]
}

// encodeFittingPart encodes the first n requests of a batch. It tries the whole batch, then half of it, a quarter and
// so on, until the encoding fits. n is 0 if not even one request fits.
func (c *Client) encodeFittingPart(batch []queuedRequest) (n int, values []json.RawMessage) {
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

// exchangeBatch writes a batch to the key-value store and waits for the responses to it.
func (c *Client) exchangeBatch(ctx context.Context, values []json.RawMessage) ([]wire.RelayResponse, error) {
	if err := c.limiter.WaitN(ctx, min(len(values), c.limiter.Burst())); err != nil {
		return nil, err
	}
	revision, err := c.store.Txn(ctx, nil, batchOps(requestPrefix, c.settings.NodeName, values))
	if err != nil {
		c.limits.Observe(err)
		return nil, err
	}
	c.lastAccepted.Set(time.Now())
	prefix := responsePrefix + c.settings.NodeName + "/"
	for {
		changes, next, err := c.store.Watch(ctx, prefix, revision, BatchTimeout)
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
