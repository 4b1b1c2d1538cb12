package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// All links are tested at the same moments, so that a process wakes once for them.
func TestLinksAreTestedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pings = 500 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		p := &Peers{pings: pings, links: map[string]*link{"a": {test: make(chan struct{}, 1)}, "b": {test: make(chan struct{}, 1)}, "stuck": {test: make(chan struct{}, 1)}}}
		done := make(chan struct{})
		go func() { p.testLinks(ctx); close(done) }()
		moments := make(map[time.Time]int)
		heard := make(chan struct{})
		go func() {
			defer close(heard)
			for {
				select {
				case <-ctx.Done():
					return
				case <-p.links["a"].test:
				case <-p.links["b"].test:
				}
				moments[time.Now()]++
			}
		}()
		const span = 10 * time.Second
		time.Sleep(span + time.Millisecond)
		cancel()
		<-done
		<-heard
		if want := int(span / pings); len(moments) != want {
			t.Errorf("woken %d times, not %d", len(moments), want)
		}
		for at, n := range moments {
			if n != 2 {
				t.Errorf("%d of 2 links tested at %v", n, at)
			}
		}
	})
}

// countedConn counts what is written to it.
type countedConn struct {
	net.Conn
	writes int
	broken bool
}

func (c *countedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *countedConn) Close() error                     { return nil }
func (c *countedConn) Write(b []byte) (int, error) {
	if c.broken {
		return 0, errors.New("broken")
	}
	c.writes++
	return len(b), nil
}

// gatheringLink is a link on a connection that counts its writes.
func gatheringLink() (*link, *countedConn) {
	conn := &countedConn{}
	l := &link{window: time.Second, pending: make(map[uint64]pendingCall), log: quiet}
	l.use(conn)
	return l, conn
}

func request(l *link, op api.Op, reports ...*worker.Report) chan result {
	reply := make(chan result, 1)
	l.send(context.Background(), call{ask: peerAsk{Req: wire.UserRequest{Op: op, ID: "000001"}, Reports: wire.FromReports(reports)}, reply: reply})
	return reply
}

// Each message by itself wakes the peer: polls gather, and go with the first request
// that can't wait.
func TestPollsGatherOnALink(t *testing.T) {
	for name, urgent := range map[string]func(l *link){
		"the window ends":    func(l *link) { l.flush() },
		"a submission":       func(l *link) { request(l, api.OpSubmit) },
		"a cancel":           func(l *link) { request(l, api.OpCancel) },
		"a ping":             func(l *link) { request(l, api.OpPing) },
		"a batch of reports": func(l *link) { request(l, api.OpSubmit, &worker.Report{Machine: 1}) },
	} {
		l, conn := gatheringLink()
		for range 10 {
			request(l, api.OpPoll)
		}
		if conn.writes != 0 || l.flushDue == nil {
			t.Errorf("%s: %d writes before, due %v", name, conn.writes, l.flushDue != nil)
		}
		urgent(l)
		if conn.writes != 1 || l.flushDue != nil {
			t.Errorf("%s: %d writes after", name, conn.writes)
		}
	}
}

// What has gathered when a connection breaks is answered as out of reach.
func TestGatheredPollsFailWithTheirConnection(t *testing.T) {
	l, conn := gatheringLink()
	reply := request(l, api.OpPoll)
	conn.broken = true
	l.flush()
	if r := <-reply; r.err == nil {
		t.Errorf("answered %+v", r.answer)
	}
	if l.conn != nil || l.flushDue != nil {
		t.Error("the connection is kept")
	}
}
