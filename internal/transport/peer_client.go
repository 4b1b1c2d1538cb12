package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	wire "sagevale/internal/wire/coordination"
)

// peerRequest is a request to one peer.
type peerRequest struct {
	message peerAsk
	wake    *activation.WakeRequest // if not nil, the request is this and not message
	usage   *activation.UsageReport // likewise
	result  chan<- peerResult       // receives the one result; has room for it
}

// peerResult is the outcome of a peerRequest.
type peerResult struct {
	response receivedResponse
	err      error
}

// encoded returns the message that is sent for the request.
func (r *peerRequest) encoded(serial uint64) any {
	switch {
	case r.wake != nil:
		return wakeAsk{serial, r.wake}
	case r.usage != nil:
		return usageAsk{serial, r.usage}
	}
	r.message.Serial = serial
	return r.message
}

// isUserRequest reports whether this is a user request or a ping.
func (r *peerRequest) isUserRequest() bool {
	return r.wake == nil && r.usage == nil && r.message.Reports == nil
}

// isPing reports whether the request is for the peer's status.
func (r *peerRequest) isPing() bool {
	return r.isUserRequest() && r.message.Req.Op == api.OpPing
}

// mayBatch reports whether the request may be gathered with others: polls are many and not urgent, and each
// message sent alone would wake the peer.
func (r *peerRequest) mayBatch() bool {
	return r.isUserRequest() && r.message.Req.Op == api.OpPoll
}

// pendingRequest is a request that has no response yet.
type pendingRequest struct {
	peerRequest
	sentAt time.Time
}

// peerEvent is what a connection's reader passes to the peerClient: a receivedResponse or a disconnected.
type peerEvent interface{ isPeerEvent() }

// disconnected is the last event of a connection.
type disconnected struct {
	conn net.Conn
	err  error
}

func (receivedResponse) isPeerEvent() {}
func (disconnected) isPeerEvent()     {}

// peerClient sends requests to one peer over one connection, which it opens when a request needs it. It is an
// actor: run owns all fields below log except for those that are published atomically.
type peerClient struct {
	self        string // this controller's name
	addr        string
	created     time.Time
	batchWindow time.Duration // for how long requests that aren't urgent are gathered
	requests    chan peerRequest
	pings       chan struct{} // each value requests a ping
	events      chan peerEvent
	log         *slog.Logger

	conn       net.Conn // nil: not connected
	writer     *bufio.Writer
	encoder    *gob.Encoder
	flushTimer <-chan time.Time // nil: nothing is gathered
	pending    map[uint64]pendingRequest
	serial     uint64         // of the latest request
	retryAt    time.Time      // no connection is attempted before
	readers    sync.WaitGroup // of the connections

	lastContact atomic.Value // time.Time of the latest response
	status      atomic.Value // peer.ObservedStatus of the latest response to a ping
}

func newPeerClient(self string, node config.Peer, pacing PeerPacing, log *slog.Logger) *peerClient {
	return &peerClient{
		self:        self,
		addr:        node.Addr,
		created:     time.Now(),
		batchWindow: pacing.BatchWindow,
		requests:    make(chan peerRequest, max(1, pacing.QueueLength)),
		pings:       make(chan struct{}, 1),
		events:      make(chan peerEvent, peerQueueLength),
		log:         log.With("controller", node.Name),
		pending:     make(map[uint64]pendingRequest),
	}
}

// run sends requests and delivers responses until ctx ends.
func (c *peerClient) run(ctx context.Context) {
	defer c.readers.Wait()
	c.ping(ctx)
	for {
		select {
		case <-ctx.Done():
			c.disconnect(ctx.Err())
			return
		case req := <-c.requests:
			c.send(ctx, req)
		case event := <-c.events:
			c.handle(event)
		case <-c.flushTimer:
			c.flush()
		case <-c.pings:
			c.checkTimeouts(time.Now())
			c.ping(ctx)
		}
	}
}

func (c *peerClient) handle(event peerEvent) {
	switch event := event.(type) {
	case receivedResponse:
		c.handleResponse(event)
	case disconnected:
		if event.conn == c.conn {
			c.disconnect(event.err)
		}
	}
}

func (c *peerClient) handleResponse(response receivedResponse) {
	c.lastContact.Store(time.Now())
	pending, ok := c.pending[response.Serial]
	if !ok {
		return
	}
	if pending.isPing() {
		c.status.Store(peer.ObservedStatus{Status: response.Answer.Peer.Status(), Sent: pending.sentAt, Received: time.Now()})
	}
	delete(c.pending, response.Serial)
	pending.result <- peerResult{response: response}
}

// ping requests the peer's status. The response to it is taken by handleResponse.
func (c *peerClient) ping(ctx context.Context) {
	c.send(ctx, peerRequest{
		message: peerAsk{Req: wire.UserRequest{Op: api.OpPing, ID: c.self}},
		result:  make(chan peerResult, 1),
	})
}

// send sends a request at once, or gathers it with others for the batch window.
func (c *peerClient) send(ctx context.Context, req peerRequest) {
	if c.conn == nil && !c.connect(ctx) {
		req.result <- peerResult{err: errPeerUnreachable}
		return
	}
	c.serial++
	c.pending[c.serial] = pendingRequest{req, time.Now()}
	err := c.conn.SetWriteDeadline(time.Now().Add(peerTimeout + c.batchWindow))
	if err == nil {
		err = c.encoder.Encode(req.encoded(c.serial))
	}
	switch {
	case err != nil:
		c.disconnect(err)
	case !req.mayBatch():
		c.flush()
	case c.flushTimer == nil:
		c.flushTimer = time.After(c.batchWindow)
	}
}

// connect opens a connection unless the last attempt is too recent, and reports whether there is one.
func (c *peerClient) connect(ctx context.Context) bool {
	if time.Now().Before(c.retryAt) {
		return false
	}
	dialer := net.Dialer{Timeout: peerTimeout / 2}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		c.log.Debug("peer connection failed", "error", err)
		c.retryAt = time.Now().Add(peerRetryDelay)
		return false
	}
	c.useConnection(conn)
	c.readers.Go(func() { readResponses(ctx, conn, c.events) })
	return true
}

// useConnection makes conn the connection that requests are sent over.
func (c *peerClient) useConnection(conn net.Conn) {
	c.conn, c.writer = conn, bufio.NewWriter(conn)
	c.encoder = gob.NewEncoder(c.writer)
}

// flush sends the requests that are gathered.
func (c *peerClient) flush() {
	c.flushTimer = nil
	if c.conn == nil {
		return
	}
	if err := c.writer.Flush(); err != nil {
		c.disconnect(err)
	}
}

// readResponses passes on the responses on a connection, and finally a disconnected, until the connection
// fails or ctx ends. The end of ctx closes the connection, which also ends a write that is under way.
func readResponses(ctx context.Context, conn net.Conn, events chan<- peerEvent) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	decoder := gob.NewDecoder(conn)
	for {
		var event peerEvent
		var response receivedResponse
		err := decoder.Decode(&response)
		if err != nil {
			event = disconnected{conn, err}
		} else {
			event = response
		}
		select {
		case events <- event:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// checkTimeouts closes a connection on which a request has no response for too long: during a network
// partition it would only hang.
func (c *peerClient) checkTimeouts(now time.Time) {
	for _, pending := range c.pending {
		if now.Sub(pending.sentAt) > 2*peerTimeout {
			c.disconnect(errPeerUnreachable)
			return
		}
	}
}

// disconnect closes the connection, if there is one, and fails all pending requests.
func (c *peerClient) disconnect(err error) {
	if c.conn != nil {
		c.log.Debug("peer connection closed", "error", err)
		c.conn.Close()
		c.conn, c.writer, c.encoder, c.flushTimer = nil, nil, nil, nil
		c.retryAt = time.Now().Add(peerRetryDelay)
	}
	for serial, pending := range c.pending {
		delete(c.pending, serial)
		pending.result <- peerResult{err: errPeerUnreachable}
	}
}
