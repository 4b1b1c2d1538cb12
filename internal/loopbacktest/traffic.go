package loopbacktest

import (
	"io"
	"net/http"
	"sync"
)

// MessageKind is a kind of message, distinguished by sender and purpose.
type MessageKind string

// The kinds of messages that are counted by the stand-ins and by the users' HTTP client. Messages between controllers are
// not counted.
const (
	Heartbeats     MessageKind = "worker report"
	DirectCommands MessageKind = "direct orders"
	StateGet       MessageKind = "state get"
	StateList      MessageKind = "state list"
	StateTxn       MessageKind = "state txn"
	StateLease     MessageKind = "state lease"
	StateWatch     MessageKind = "state watch"
	CloudCalls     MessageKind = "cloud call"
	Submissions    MessageKind = "submit"
	Polls          MessageKind = "poll"
	Cancels        MessageKind = "cancel"
)

// MessageCounts counts the messages of one kind, and the bytes of their request and response bodies.
type MessageCounts struct {
	Messages, RequestBytes, ResponseBytes int64
}

// Traffic counts messages by kind. It is safe for concurrent use.
type Traffic struct {
	mu     sync.Mutex
	counts map[MessageKind]*MessageCounts
}

func newTraffic() *Traffic { return &Traffic{counts: make(map[MessageKind]*MessageCounts)} }

// add counts one request and its response as one message.
func (t *Traffic) add(kind MessageKind, requestBytes, responseBytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.counts[kind]
	if f == nil {
		f = &MessageCounts{}
		t.counts[kind] = f
	}
	f.Messages++
	f.RequestBytes += requestBytes
	f.ResponseBytes += responseBytes
}

// Snapshot returns a copy of the counts.
func (t *Traffic) Snapshot() map[MessageKind]MessageCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[MessageKind]MessageCounts, len(t.counts))
	for kind, f := range t.counts {
		out[kind] = *f
	}
	return out
}

// Reset sets all counts to 0.
func (t *Traffic) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.counts)
}

// withCounting returns a handler that calls h and counts the request and its response under kind.
func (t *Traffic) withCounting(kind MessageKind, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := &countingReader{ReadCloser: r.Body}
		r.Body = body
		response := &countingWriter{ResponseWriter: w}
		h(response, r)
		t.add(kind, body.bytes, response.bytes)
	}
}

// countingReader counts the bytes that are read from a request body.
type countingReader struct {
	io.ReadCloser
	bytes int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.bytes += int64(n)
	return n, err
}

// countingWriter counts the bytes that are written to a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.bytes += int64(n)
	return n, err
}
