package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/worker"
)

// What one request costs, all but the decision.

// answering is a node that answers at once.
func answering() *stub {
	return &stub{answer: api.Response{Code: api.CodeOK, ID: "000412", State: api.StateRunning, Running: 3}, beat: worker.HeartbeatResponse{Accepted: true, Token: 7}}
}

func serveBench(b *testing.B) (addr string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = NewServer(answering(), Bounds{Sockets: 1000}, quiet).Serve(ctx, l) }()
	return l.Addr().String()
}

// exchangeRaw sends one request on an open connection and reads its answer.
func exchangeRaw(b *testing.B, c net.Conn, req, buf []byte) {
	if _, err := c.Write(req); err != nil {
		b.Fatal(err)
	}
	if n, err := c.Read(buf); err != nil || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200")) {
		b.Fatalf("%s %v", buf[:n], err)
	}
}

func benchRequest(b *testing.B, req []byte) {
	c, err := net.Dial("tcp", serveBench(b))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		exchangeRaw(b, c, req, buf)
	}
}

func reportBody(tasks int) []byte {
	var w bytes.Buffer
	w.WriteString(`{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":88,"Baton":41,"WarningS":null,"Chores":[`)
	for i := range tasks {
		if i > 0 {
			w.WriteByte(',')
		}
		fmt.Fprintf(&w, `{"Chore":"job-%06d/%d","Try":%d,"Standing":"running"}`, 1000+i, i, 167772160+i)
	}
	w.WriteString("]}")
	return w.Bytes()
}

// BenchmarkHeartbeatRequest is a worker's report of eight tasks on its open connection.
func BenchmarkHeartbeatRequest(b *testing.B) {
	body := reportBody(8)
	benchRequest(b, []byte(fmt.Sprintf("POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
}

// BenchmarkPollRequest is a user's poll on an open connection.
func BenchmarkPollRequest(b *testing.B) {
	benchRequest(b, []byte("GET /v1/jobs/job-000412 HTTP/1.1\r\nHost: x\r\n\r\n"))
}

// BenchmarkPeerHeartbeats is a batch of 16 reports handed to another node.
func BenchmarkPeerHeartbeats(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = ServePeers(ctx, l, fakeLocal{}, quiet) }()
	p := NewPeers("n0", []config.Peer{{Name: "n1", Addr: l.Addr().String()}}, Pace{Window: time.Millisecond, Pings: peerTimeout / 4}, quiet)
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

// BenchmarkDirectOrders is a start sent straight to a worker that answers at once.
func BenchmarkDirectOrders(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	body := reportBody(8)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body)
	})}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { srv.Close() })
	w := NewWorkerClient(1000, quiet)
	orders := []worker.Command{{Verb: worker.Start, ID: worker.TaskID{Job: "000412", Task: 3}, Attempt: 2}}
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if out, _ := w.SendCommands(ctx, l.Addr().String(), 41, 1, orders, time.Time{}); out != worker.Executed {
			b.Fatal(out)
		}
		cancel()
	}
}
