package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"sagevale/internal/config"
	"sagevale/internal/worker"
)

// The benchmarks of this file measure the cost of one request or connection. Fakes respond at once, so the work of a
// scheduler or a worker isn't measured.

// roundTrip sends one request on an open connection and reads the response into buf.
func roundTrip(b *testing.B, conn net.Conn, req, buf []byte) {
	b.Helper()
	if _, err := conn.Write(req); err != nil {
		b.Fatal(err)
	}
	if n, err := conn.Read(buf); err != nil || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200")) {
		b.Fatalf("response %q, %v; want status 200", buf[:n], err)
	}
}

func benchmarkRequest(b *testing.B, req []byte) {
	conn := dial(b, startServer(b, Limits{Sockets: 1000}))
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b, conn, req, buf)
	}
}

// BenchmarkHeartbeatRequest sends a heartbeat of a worker with eight tasks on an open connection.
func BenchmarkHeartbeatRequest(b *testing.B) { benchmarkRequest(b, heartbeatRequest(8)) }

// BenchmarkPollRequest sends a user's poll on an open connection.
func BenchmarkPollRequest(b *testing.B) {
	benchmarkRequest(b, []byte("GET /v1/jobs/job-000412 HTTP/1.1\r\nHost: x\r\n\r\n"))
}

// BenchmarkPeerHeartbeats forwards a batch of 16 heartbeats to another controller.
func BenchmarkPeerHeartbeats(b *testing.B) {
	l := listen(b)
	ctx := b.Context()
	go func() { _ = ServePeers(ctx, l, fakePeerHandler{}, discardLogger) }()
	p := NewPeers("n0", []config.Peer{{Name: "n1", Addr: l.Addr().String()}}, testPacing, discardLogger)
	go p.Run(ctx)
	var reports []*worker.Report
	for range 16 {
		r := &worker.Report{Machine: 1, Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 1, Seq: 88, Token: 41}
		for i := range 8 {
			r.Tasks = append(r.Tasks, worker.TaskReport{ID: worker.TaskID{Job: fmt.Sprintf("%06d", i), Task: i}, Attempt: 167772160, State: worker.Running})
		}
		reports = append(reports, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.ForwardHeartbeats(ctx, "n1", reports); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSendCommands sends a start command to a worker that responds at once.
func BenchmarkSendCommands(b *testing.B) {
	l := listen(b)
	body := reportJSON(8)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body)
	})}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { server.Close() })
	client := NewWorkerClient(1000, discardLogger)
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		if outcome, _ := client.SendCommands(ctx, l.Addr().String(), 41, 1, startCommands, time.Time{}); outcome != worker.Executed {
			b.Fatalf("outcome %v, want Executed", outcome)
		}
		cancel()
	}
}

// BenchmarkIdleConnection reports the memory that a worker connection occupies between two heartbeats.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 400
	req := heartbeatRequest(8)
	for b.Loop() {
		b.StopTimer()
		l := listen(b)
		stop := serve(b, l, Limits{Sockets: 1000})
		before := liveMemory()
		var open []net.Conn
		buf := make([]byte, 4096)
		b.StartTimer()
		for range conns {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			roundTrip(b, conn, req, buf)
			open = append(open, conn)
		}
		b.StopTimer()
		time.Sleep(10 * time.Millisecond)
		b.ReportMetric(float64(liveMemory()-before)/conns, "held-bytes/conn")
		for _, conn := range open {
			conn.Close()
		}
		stop()
		b.StartTimer()
	}
}

// liveMemory returns the size of the live heap and of the stacks in bytes.
func liveMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
