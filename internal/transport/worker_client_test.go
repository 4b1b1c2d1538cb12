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

// fixedResponse returns a handler that acts as a worker and sends the same response to every request.
func fixedResponse(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// If a command was certainly not sent, it may be sent to another worker at once. If the command may have been sent, it
// must not be sent to another worker yet. The outcomes must therefore distinguish these two cases.
func TestWorkerClientOutcomes(t *testing.T) {
	client := NewWorkerClient(100, discardLogger)
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		want    worker.CommandOutcome
	}{
		{"executed", fixedResponse(200, idleReport), worker.Executed},
		{"rejected", fixedResponse(409, idleReport), worker.Rejected},
		{"malformed report", fixedResponse(200, "{}"), worker.Unresolved},
		{"server error", fixedResponse(500, ""), worker.Unresolved},
		{"no response", func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) }, worker.Unresolved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if got, _ := client.SendCommands(ctx, server.Listener.Addr().String(), 1, 1, startCommands, time.Time{}); got != tc.want {
				t.Errorf("outcome %v, want %v", got, tc.want)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		l := listen(t)
		l.Close()
		if got, _ := client.SendCommands(t.Context(), l.Addr().String(), 1, 1, startCommands, time.Time{}); got != worker.NotSent {
			t.Errorf("outcome %v, want NotSent", got)
		}
	})
}

// SendCommands must send nothing once sendBy, the deadline for sending the commands, has passed.
func TestWorkerClientDropsLateCommands(t *testing.T) {
	received := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received <- struct{}{} }))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	if got, _ := NewWorkerClient(100, discardLogger).SendCommands(t.Context(), addr, 1, 1, startCommands, time.Now()); got != worker.NotSent {
		t.Errorf("outcome %v, want NotSent", got)
	}
	select {
	case <-received:
		t.Error("the worker has received the commands")
	default:
	}
}
