package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"sagevale/internal/protocol"
)

func TestConnectionsKeepToSocketsAndMemory(t *testing.T) {
	for _, c := range []struct {
		bounds                 Bounds
		connections, ofWorkers int
	}{
		{Bounds{Sockets: 1000}, 666, 500},
		{Bounds{Sockets: 1000, MemoryMB: 65}, 666, 500},
		{Bounds{Sockets: 800, MemoryMB: 65}, 533, 400},
		{Bounds{Sockets: 10000, MemoryMB: 65}, 924, 693},
		{Bounds{Sockets: 10000, MemoryMB: 16}, 227, 170},
		{Bounds{Sockets: 1, MemoryMB: 0.001}, 1, 1},
	} {
		if got := c.bounds.connections(); got != c.connections {
			t.Errorf("%+v: %d connections", c.bounds, got)
		}
		if got := c.bounds.workers(); got != c.ofWorkers {
			t.Errorf("%+v: %d of workers", c.bounds, got)
		}
	}
}

func TestLargeBodiesKeepToTheirMemory(t *testing.T) {
	a := newBodyAdmission(Bounds{MemoryMB: 16}) // 1 MB for bodies
	var releases []func()
	for len(releases) < 100 {
		release, ok := a.admit(protocol.MaxBody)
		if !ok {
			break
		}
		releases = append(releases, release)
	}
	if len(releases) != 16 {
		t.Errorf("%d bodies of 64 KiB at once", len(releases))
	}
	if _, ok := a.admit(-1); ok {
		t.Error("a body of any length too")
	}
	if _, ok := a.admit(smallBody); !ok {
		t.Error("a small body isn't admitted")
	}
	for _, release := range releases {
		release()
	}
	if _, ok := a.admit(-1); !ok {
		t.Error("no room although all is given back")
	}
}

// slowRequests open connections that promise large bodies and never finish them.
func slowRequests(t *testing.T, addr string, n int, header string) (answers chan string) {
	t.Helper()
	answers = make(chan string, n)
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header)
		go func() {
			buf := make([]byte, 512)
			n, _ := c.Read(buf)
			answers <- string(buf[:n])
		}()
	}
	return answers
}

// Endless and slow bodies hold no more memory than there is for them: what doesn't fit
// is told at once when to come back, and small requests go on being served.
func TestSlowLargeBodiesAreRefusedWithinBounds(t *testing.T) {
	for name, header := range map[string]string{
		"of a length":    fmt.Sprintf("Content-Length: %d", protocol.MaxBody),
		"without length": "Transfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = NewServer(answering(), Bounds{Sockets: 1000, MemoryMB: 16}, quiet).Serve(ctx, l) }()
			const slow = 60
			answers := slowRequests(t, l.Addr().String(), slow, header)
			fit := 1 << 20 / protocol.MaxBody
			if name == "without length" {
				fit /= 2
			}
			for range slow - fit {
				if a := <-answers; !strings.HasPrefix(a, "HTTP/1.1 503") || !strings.Contains(a, "Retry-After: 1") || !strings.Contains(a, "Connection: close") {
					t.Fatalf("answered %q", a)
				}
			}
			resp, err := http.Get("http://" + l.Addr().String() + "/v1/jobs/job-000412")
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v, %v", resp, err)
			}
			resp.Body.Close()
		})
	}
}

// A body that is said to be too large is refused before it is read.
func TestALargeBodyIsRefusedUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = NewServer(answering(), Bounds{Sockets: 100, MemoryMB: 16}, quiet).Serve(ctx, l) }()
	if a := <-slowRequests(t, l.Addr().String(), 1, "Content-Length: 100000000"); !strings.HasPrefix(a, "HTTP/1.1 400") || !strings.Contains(a, "Connection: close") {
		t.Errorf("answered %q", a)
	}
}

// BenchmarkIdleConnection tells what a worker's connection holds between two reports.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 400
	body := reportBody(8)
	req := []byte(fmt.Sprintf("POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	for b.Loop() {
		b.StopTimer()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() { _ = NewServer(answering(), Bounds{Sockets: 1000}, quiet).Serve(ctx, l); close(served) }()
		before := held()
		var open []net.Conn
		buf := make([]byte, 4096)
		b.StartTimer()
		for range conns {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			exchangeRaw(b, c, req, buf)
			open = append(open, c)
		}
		b.StopTimer()
		time.Sleep(10 * time.Millisecond)
		b.ReportMetric(float64(held()-before)/conns, "held-bytes/conn")
		for _, c := range open {
			c.Close()
		}
		cancel()
		<-served
		b.StartTimer()
	}
}

// held is the live heap and the stacks.
func held() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
