package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// pipes is a listener in memory.
type pipes struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	select {
	case <-p.ended:
	default:
		close(p.ended)
	}
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// ask sends one request and returns the answer's head, and whether the
// connection stays open. One that doesn't has been closed when ask returns: on a
// busy machine the limiter else counts it for a while longer, and sheds others.
func ask(t *testing.T, c net.Conn, req string) (head string, stays bool) {
	t.Helper()
	if _, err := io.WriteString(c, req); err != nil {
		return err.Error(), false
	}
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil {
		return err.Error(), false
	}
	head = string(buf[:n])
	if !strings.Contains(head, "Connection: close") {
		return head, true
	}
	for err == nil {
		_, err = c.Read(buf)
	}
	return head, false
}

// More workers than sockets: those beyond a share are closed with their
// answers, and what is still open never shuts out users and health checks. A
// full node once looked dead to the balancer.
func TestWorkersLeaveRoomForOthers(t *testing.T) {
	const sockets = 60
	l := &pipes{make(chan net.Conn), make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- NewServer(answering(), Bounds{Sockets: sockets}, quiet).Serve(ctx, l) }()
	open := func() net.Conn {
		ours, theirs := net.Pipe()
		l.conns <- theirs
		return ours
	}
	body := reportBody(1)
	report := fmt.Sprintf("POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var kept []net.Conn
	for i := range 2 * sockets {
		c := open()
		head, stays := ask(t, c, report)
		if !strings.HasPrefix(head, "HTTP/1.1 200") {
			t.Fatalf("report %d: %.40s", i, head)
		}
		if stays {
			kept = append(kept, c)
		}
	}
	if n := len(kept); n != socketShare(sockets, workerShare) {
		t.Errorf("%d workers' connections stay open", n)
	}
	// Users fill what is left; then workers' connections make room.
	for i := range sockets / 2 {
		if head, stays := ask(t, open(), "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"); !stays || !strings.HasPrefix(head, "HTTP/1.1 200") {
			t.Fatalf("health check %d: %.40s", i, head)
		}
	}
	shut := 0
	for _, c := range kept {
		if _, stays := ask(t, c, report); !stays {
			shut++
		}
	}
	if shut == 0 || shut == len(kept) {
		t.Errorf("%d of %d workers' connections were closed to make room", shut, len(kept))
	}
	cancel()
	if err := <-served; err != nil {
		t.Errorf("serving ended: %v", err)
	}
}
