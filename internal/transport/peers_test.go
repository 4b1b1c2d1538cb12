package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/config"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

var testPacing = PeerPacing{BatchWindow: time.Millisecond, PingInterval: peerTimeout / 4}

// startPeerServer starts a server for other controllers on a free port and returns its address. stop stops the server
// and waits until it has stopped.
func startPeerServer(t *testing.T) (addr string, stop func()) {
	t.Helper()
	l := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- ServePeers(ctx, l, fakePeerHandler{}, discardLogger)
		close(served)
	}()
	stop = func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("ServePeers returned %v, want nil", err)
		}
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func TestPeersForward(t *testing.T) {
	addr, stop := startPeerServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	p := NewPeers("n0", []config.Peer{{Name: "n1", Addr: addr}}, testPacing, discardLogger)
	stopped := make(chan struct{})
	go func() { p.Run(ctx); close(stopped) }()
	t.Cleanup(func() { cancel(); <-stopped })
	for _, id := range []string{"000001", "000002"} {
		response, err := p.Forward(ctx, "n1", api.Request{Op: api.OpPoll, ID: id})
		if err != nil || response.ID != id {
			t.Fatalf("Forward returned %+v, %v; want the response to %s", response, err, id)
		}
	}
	responses, err := p.ForwardHeartbeats(ctx, "n1", []*worker.Report{{Machine: 1, Token: 7}, {Machine: 1, Token: 8}})
	if err != nil || len(responses) != 2 || responses[1].Token != 8 {
		t.Errorf("ForwardHeartbeats returned %+v, %v; want two responses in order", responses, err)
	}
	if _, err := p.ForwardHeartbeats(ctx, "n1", []*worker.Report{{Machine: 2}}); !errors.Is(err, errPeerUnreachable) {
		t.Errorf("ForwardHeartbeats to a peer that doesn't handle them returned %v, want errPeerUnreachable", err)
	}
	if status, ok := p.Status("n1"); !ok || status.Leader != "n0" || status.Received.Before(status.Sent) {
		t.Errorf("Status returned %+v, %v", status, ok)
	}
	if d := p.UnreachableFor("n1"); d != 0 {
		t.Errorf("UnreachableFor returned %v, want 0", d)
	}
	stop()
	if _, err := p.Forward(ctx, "n1", api.Request{}); !errors.Is(err, errPeerUnreachable) {
		t.Errorf("Forward to a stopped peer returned %v, want errPeerUnreachable", err)
	}
	if _, err := p.Forward(ctx, "n9", api.Request{}); !errors.Is(err, errPeerUnreachable) {
		t.Errorf("Forward to an unknown peer returned %v, want errPeerUnreachable", err)
	}
}

// The server must close a connection after a message that it can't decode. Otherwise the peer would keep waiting for
// responses on a connection that the server no longer reads.
func TestServePeersClosesUnreadableConnection(t *testing.T) {
	addr, _ := startPeerServer(t)
	conn := dial(t, addr)
	const invalidLength = "\x80" // a gob message starts with its length; this byte isn't a valid length
	if _, err := io.WriteString(conn, invalidLength); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("Read returned %v, want the connection's end", err)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// All peers must be pinged at the same time, so that the process wakes up only once per interval. If one client doesn't
// receive from its channel of pings, the pings of the other clients must not be delayed.
func TestPeersPingTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 500 * time.Millisecond
		newClient := func() *peerClient { return &peerClient{pings: make(chan struct{}, 1)} }
		p := &Peers{pingInterval: interval, clients: map[string]*peerClient{"a": newClient(), "b": newClient(), "blocked": newClient()}}
		ctx, cancel := context.WithCancel(t.Context())
		triggerStopped := make(chan struct{})
		go func() { p.triggerPings(ctx); close(triggerStopped) }()
		pings := make(map[time.Time]int)
		countStopped := make(chan struct{})
		go func() {
			defer close(countStopped)
			for {
				select {
				case <-ctx.Done():
					return
				case <-p.clients["a"].pings:
				case <-p.clients["b"].pings:
				}
				pings[time.Now()]++
			}
		}()
		const span = 10 * time.Second
		time.Sleep(span + time.Millisecond)
		cancel()
		<-triggerStopped
		<-countStopped
		if got, want := len(pings), int(span/interval); got != want {
			t.Errorf("pings at %d moments, want %d", got, want)
		}
		for at, n := range pings {
			if n != 2 {
				t.Errorf("%d pings at %v, want 2", n, at)
			}
		}
	})
}

// countingConn is a connection that counts the writes to it. If broken is set, each write fails instead.
type countingConn struct {
	net.Conn
	writes int
	broken bool
}

func (c *countingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *countingConn) Close() error                     { return nil }
func (c *countingConn) Write(b []byte) (int, error) {
	if c.broken {
		return 0, errors.New("broken")
	}
	c.writes++
	return len(b), nil
}

// newBatchingClient returns a client that is connected to a countingConn.
func newBatchingClient() (*peerClient, *countingConn) {
	conn := &countingConn{}
	c := newPeerClient("n0", config.Peer{Name: "n1"}, PeerPacing{BatchWindow: time.Second}, discardLogger)
	c.useConnection(conn)
	return c, conn
}

// sendRequest sends a request and returns the channel that receives its result.
func sendRequest(t *testing.T, c *peerClient, op api.Op, reports ...*worker.Report) <-chan peerResult {
	t.Helper()
	result := make(chan peerResult, 1)
	c.send(t.Context(), peerRequest{
		message: peerAsk{Req: wire.UserRequest{Op: op, ID: "000001"}, Reports: wire.FromReports(reports)},
		result:  result,
	})
	return result
}

// Each write to the connection wakes up the peer. Polls must therefore be collected and sent in one write, either together
// with the next urgent request or when the batch window ends.
func TestPeerClientBatchesPolls(t *testing.T) {
	for _, tc := range []struct {
		name   string
		urgent func(t *testing.T, c *peerClient)
	}{
		{"window ends", func(_ *testing.T, c *peerClient) { c.flush() }},
		{"submission", func(t *testing.T, c *peerClient) { sendRequest(t, c, api.OpSubmit) }},
		{"cancellation", func(t *testing.T, c *peerClient) { sendRequest(t, c, api.OpCancel) }},
		{"ping", func(t *testing.T, c *peerClient) { sendRequest(t, c, api.OpPing) }},
		{"heartbeats", func(t *testing.T, c *peerClient) { sendRequest(t, c, api.OpSubmit, &worker.Report{Machine: 1}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, conn := newBatchingClient()
			for range 10 {
				sendRequest(t, c, api.OpPoll)
			}
			if conn.writes != 0 || c.flushTimer == nil {
				t.Errorf("%d writes after the polls, timer set: %v; want 0 and true", conn.writes, c.flushTimer != nil)
			}
			tc.urgent(t, c)
			if conn.writes != 1 || c.flushTimer != nil {
				t.Errorf("%d writes after the urgent request, timer set: %v; want 1 and false", conn.writes, c.flushTimer != nil)
			}
		})
	}
}

func TestPeerClientFailsBatchOnWriteError(t *testing.T) {
	c, conn := newBatchingClient()
	result := sendRequest(t, c, api.OpPoll)
	conn.broken = true
	c.flush()
	if r := <-result; !errors.Is(r.err, errPeerUnreachable) {
		t.Errorf("result %+v, want errPeerUnreachable", r)
	}
	if c.conn != nil || c.flushTimer != nil {
		t.Error("the connection or the flush timer is kept after the write error")
	}
}
