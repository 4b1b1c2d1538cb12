package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagevale/internal/worker"
)

// respond returns a worker's handler that gives one response.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// A command that was certainly not sent may be sent to another worker at once; one that may have been sent can't.
func TestWorkerClientOutcomes(t *testing.T) {
	client := NewWorkerClient(100, discardLogger)
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		want    worker.CommandOutcome
	}{
		{"executed", respond(200, idleReport), worker.Executed},
		{"rejected", respond(409, idleReport), worker.Rejected},
		{"malformed report", respond(200, "{}"), worker.Unresolved},
		{"server error", respond(500, ""), worker.Unresolved},
		{"no response", func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) }, worker.Unresolved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if got, _ := client.SendCommands(ctx, server.Listener.Addr().String(), 1, 1, command, time.Time{}); got != tc.want {
				t.Errorf("outcome %v, want %v", got, tc.want)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		l := listen(t)
		l.Close()
		if got, _ := client.SendCommands(t.Context(), l.Addr().String(), 1, 1, command, time.Time{}); got != worker.NotSent {
			t.Errorf("outcome %v, want NotSent", got)
		}
	})
}

// Commands that have waited for a free connection until sendBy are not sent.
func TestWorkerClientDropsLateCommands(t *testing.T) {
	received := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received <- struct{}{} }))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	if got, _ := NewWorkerClient(100, discardLogger).SendCommands(t.Context(), addr, 1, 1, command, time.Now()); got != worker.NotSent {
		t.Errorf("outcome %v, want NotSent", got)
	}
	select {
	case <-received:
		t.Error("the worker has received the commands")
	default:
	}
}
