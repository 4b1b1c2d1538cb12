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

// peerRequest is a request to one peer. At most one of wake and usage is set. If neither is set, message is sent.
type peerRequest struct {
	message peerAsk
	wake    *activation.WakeRequest // if not nil, sent instead of message
	usage   *activation.UsageReport // if not nil, sent instead of message
	result  chan<- peerResult       // receives exactly one result; must be buffered
}

// peerResult is the outcome of a peerRequest: a response or an error.
type peerResult struct {
	response receivedResponse
	err      error
}

// gobMessage returns the message to encode and send, with the given serial number.
func (r *peerRequest) gobMessage(serial uint64) any {
	switch {
	case r.wake != nil:
		return wakeAsk{serial, r.wake}
	case r.usage != nil:
		return usageAsk{serial, r.usage}
	}
	r.message.Serial = serial
	return r.message
}

// isUserRequest reports whether the request is a user request or a ping.
func (r *peerRequest) isUserRequest() bool {
	return r.wake == nil && r.usage == nil && r.message.Reports == nil
}

// isPing reports whether the request is a ping, which asks for the peer's status.
func (r *peerRequest) isPing() bool {
	return r.isUserRequest() && r.message.Req.Op == api.OpPing
}

// mayBatch reports whether the request may be delayed and sent in a batch. Only polls, which request a job's state, are
// batched: they are frequent and not urgent, and each poll that is sent alone would wake up the peer's process.
func (r *peerRequest) mayBatch() bool {
	return r.isUserRequest() && r.message.Req.Op == api.OpPoll
}

// pendingRequest is a request that is waiting for its response.
type pendingRequest struct {
	peerRequest
	sentAt time.Time
}

// peerEvent is an event that readResponses sends to the peerClient. Its type is receivedResponse or disconnected.
type peerEvent interface{ isPeerEvent() }

// disconnected is the last event of a connection. It holds the error that ended the connection.
type disconnected struct {
	conn net.Conn
	err  error
}

func (receivedResponse) isPeerEvent() {}
func (disconnected) isPeerEvent()     {}

// peerClient sends requests to one peer over one connection, which it opens when there is a request to send. Only the
// goroutine that executes run accesses the fields below log. The atomic fields are the exception: any goroutine may read
// them.
type peerClient struct {
	self        string // this controller's name
	addr        string
	created     time.Time
	batchWindow time.Duration // how long polls may be delayed to be sent in a batch
	requests    chan peerRequest
	pings       chan struct{} // each value triggers a ping
	events      chan peerEvent
	log         *slog.Logger

	conn       net.Conn // nil: not connected
	writer     *bufio.Writer
	encoder    *gob.Encoder
	flushTimer <-chan time.Time // nil: no batch is waiting to be sent
	pending    map[uint64]pendingRequest
	serial     uint64         // serial number of the latest request
	retryAt    time.Time      // no connection is attempted before this time
	readers    sync.WaitGroup // the goroutines that read the connections

	lastContact atomic.Value // when the latest response arrived, a time.Time
	status      atomic.Value // status from the latest response to a ping, a peer.ObservedStatus
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
			c.handleEvent(event)
		case <-c.flushTimer:
			c.flush()
		case <-c.pings:
			c.checkTimeouts(time.Now())
			c.ping(ctx)
		}
	}
}

func (c *peerClient) handleEvent(event peerEvent) {
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

// ping requests the peer's status. handleResponse stores the status from the response.
func (c *peerClient) ping(ctx context.Context) {
	c.send(ctx, peerRequest{
		message: peerAsk{Req: wire.UserRequest{Op: api.OpPing, ID: c.self}},
		result:  make(chan peerResult, 1),
	})
}

// send writes a request to the buffer of the connection. A request that may be batched waits in the buffer until the next
// flush, which comes at the latest at the end of the batch window. The batch window begins with the first request that
// waits. For a request that may not be batched, send flushes the buffer at once. If there is no connection and none can be
// opened, the request fails.
func (c *peerClient) send(ctx context.Context, req peerRequest) {
	if c.conn == nil && !c.connect(ctx) {
		req.result <- peerResult{err: errPeerUnreachable}
		return
	}
	c.serial++
	c.pending[c.serial] = pendingRequest{req, time.Now()}
	err := c.conn.SetWriteDeadline(time.Now().Add(peerTimeout + c.batchWindow))
	if err == nil {
		err = c.encoder.Encode(req.gobMessage(c.serial))
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

// connect opens a connection and reports whether it succeeded. Before retryAt, it makes no attempt and returns false.
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

// useConnection makes conn the connection on which requests are sent.
func (c *peerClient) useConnection(conn net.Conn) {
	c.conn, c.writer = conn, bufio.NewWriter(conn)
	c.encoder = gob.NewEncoder(c.writer)
}

// flush sends the requests in the buffer.
func (c *peerClient) flush() {
	c.flushTimer = nil
	if c.conn == nil {
		return
	}
	if err := c.writer.Flush(); err != nil {
		c.disconnect(err)
	}
}

// readResponses reads responses from a connection and sends them to events until the connection fails or ctx ends. If
// the connection fails, the last event is a disconnected. The end of ctx closes the connection, which also aborts a write
// that is in progress.
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

// checkTimeouts closes the connection if any request on it has waited longer than 2*peerTimeout for its response. Without
// this check, the connection would hang during a network partition.
func (c *peerClient) checkTimeouts(now time.Time) {
	for _, pending := range c.pending {
		if now.Sub(pending.sentAt) > 2*peerTimeout {
			c.disconnect(errPeerUnreachable)
			return
		}
	}
}

// disconnect closes the connection, if there is one, and completes all pending requests with errPeerUnreachable. err is the
// cause, which is only logged.
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
