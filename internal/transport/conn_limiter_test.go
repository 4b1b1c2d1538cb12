package transport

import (
	"net"
	"strings"
	"testing"
)

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{make(chan net.Conn), make(chan struct{})}
}

// dial opens a connection and waits until it is accepted.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// exchange sends one request and returns the start of the response and whether the connection stays open. If the
// connection doesn't stay open, exchange waits until the server has closed it. Without this wait, on a busy machine, the
// limiter might still count the connection as open and therefore close other connections.
func exchange(t *testing.T, conn net.Conn, req []byte) (response string, staysOpen bool) {
	t.Helper()
	if _, err := conn.Write(req); err != nil {
		return err.Error(), false
	}
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		return err.Error(), false
	}
	response = string(buf[:n])
	if !strings.Contains(response, "Connection: close") {
		return response, true
	}
	for err == nil {
		_, err = conn.Read(buf)
	}
	return response, false
}

// There may be more workers than sockets. Only a share of the sockets may hold worker connections that stay open. The
// server must close any further worker connection after the response, so that users and health checks can still connect.
// Before this limit existed, a load balancer treated a node as failed because all connections of the node were in use.
func TestServerReservesConnectionsForOthers(t *testing.T) {
	const sockets = 60
	l := newPipeListener()
	serve(t, l, Limits{Sockets: sockets})
	heartbeat := heartbeatRequest(1)
	var open []net.Conn
	for i := range 2 * sockets {
		conn := l.dial()
		response, staysOpen := exchange(t, conn, heartbeat)
		if !strings.HasPrefix(response, "HTTP/1.1 200") {
			t.Fatalf("heartbeat %d: response %.40q, want status 200", i, response)
		}
		if staysOpen {
			open = append(open, conn)
		}
	}
	if got, want := len(open), socketShare(sockets, workerSocketShare); got != want {
		t.Errorf("%d connections of workers stay open, want %d", got, want)
	}
	// The first health checks use the free connections. For the others, the server must close idle worker connections.
	for i := range sockets / 2 {
		response, staysOpen := exchange(t, l.dial(), []byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))
		if !staysOpen || !strings.HasPrefix(response, "HTTP/1.1 200") {
			t.Fatalf("health check %d: response %.40q, connection stays: %v; want status 200 and true", i, response, staysOpen)
		}
	}
	closed := 0
	for _, conn := range open {
		if _, staysOpen := exchange(t, conn, heartbeat); !staysOpen {
			closed++
		}
	}
	if closed == 0 || closed == len(open) {
		t.Errorf("%d of %d connections of workers were closed, want some but not all", closed, len(open))
	}
}
