package loopbacktest

import (
	"io"
	"net/http"
	"sync"
)

// Kind is a kind of message, named by who asks and what for.
type Kind string

// The kinds of messages that the stand-ins see. What the controllers say to each other passes none of them.
const (
	Reports      Kind = "worker report"
	DirectOrders Kind = "direct orders"
	StateGet     Kind = "state get"
	StateList    Kind = "state list"
	StateTxn     Kind = "state txn"
	StateLease   Kind = "state lease"
	StateWatch   Kind = "state watch"
	CloudCalls   Kind = "cloud call"
	Submissions  Kind = "submit"
	Polls        Kind = "poll"
	Cancels      Kind = "cancel"
)

// Flow counts messages of one kind: requests, and the bytes of their bodies both ways.
type Flow struct {
	Messages, RequestBytes, ResponseBytes int64
}

// Traffic counts messages by kind. It may be used from any goroutine.
type Traffic struct {
	mu    sync.Mutex
	flows map[Kind]*Flow
}

// NewTraffic starts from nothing.
func NewTraffic() *Traffic { return &Traffic{flows: make(map[Kind]*Flow)} }

// Add counts one message.
func (t *Traffic) Add(kind Kind, request, response int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[kind]
	if f == nil {
		f = &Flow{}
		t.flows[kind] = f
	}
	f.Messages++
	f.RequestBytes += request
	f.ResponseBytes += response
}

// Snapshot returns the counts so far.
func (t *Traffic) Snapshot() map[Kind]Flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Kind]Flow, len(t.flows))
	for kind, f := range t.flows {
		out[kind] = *f
	}
	return out
}

// Reset starts from nothing again.
func (t *Traffic) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.flows)
}

// Counted has a handler's messages counted under kind.
func (t *Traffic) Counted(kind Kind, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := &countingReader{ReadCloser: r.Body}
		r.Body = body
		out := &countingWriter{ResponseWriter: w}
		h(out, r)
		t.Add(kind, body.read, out.written)
	}
}

type countingReader struct {
	io.ReadCloser
	read int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.read += int64(n)
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	written int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.written += int64(n)
	return n, err
}
