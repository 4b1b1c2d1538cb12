package activator

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/activation"
)

// startHandler starts a server with a handler, and returns the server's URL. The handler's leader returns the given
// response to all wake requests. In URLs a model is named by its job ID with the prefix "job-".
func startHandler(t *testing.T, response activation.WakeResponse, limits Limits, target string) string {
	t.Helper()
	tracker, stop := startTracker(&fakeLeader{response: response}, limits)
	t.Cleanup(stop)
	config := Config{
		Target: target, MaxBodyBytes: 100,
		ModelOf: func(element string) (string, bool) { return strings.CutPrefix(element, "job-") },
	}
	server := httptest.NewServer(NewHandler(tracker, config, slog.New(slog.DiscardHandler)))
	t.Cleanup(server.Close)
	return server.URL
}

// post sends a request and returns the response.
func post(t *testing.T, url string, body io.Reader) (status int, retryAfter, text string) {
	t.Helper()
	response, err := http.Post(url, "text/plain", body)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get("Retry-After"), string(raw)
}

// freeAddress returns a loopback address on which no server listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// portOf returns the port of an address.
func portOf(t *testing.T, address string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// Each request gets one final response, whatever happens to the model's server.
func TestHandlerResponses(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.URL.Path == "/job-000001/dies" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.URL.Path+" "+r.URL.RawQuery+" "+string(body))
	}))
	defer server.Close()
	machine := server.Listener.Addr().String()
	port := portOf(t, machine)
	closedPort := portOf(t, freeAddress(t))
	const path = "/models/job-000001/v1"
	ready := knownResponse(activation.Ready, 1, machine)
	for _, tc := range []struct {
		name, path, body     string
		response             activation.WakeResponse
		port                 string
		status               int
		retryAfter, contains string
	}{
		{"forwarded", "/models/job-000001/v1/chat?x=1", "hi", ready, port, http.StatusOK, "", "/job-000001/v1/chat x=1 hi"},
		{"unknown model", path, "", activation.WakeResponse{Verdict: activation.VerdictUnknown, Reason: "no such service", Holds: time.Second}, port, http.StatusNotFound, "", "no such service"},
		{"invalid model", "/models/x/v1", "", ready, port, http.StatusNotFound, "", "no such model"},
		{"other path", "/jobs", "", ready, port, http.StatusNotFound, "", ""},
		{"too large", path, strings.Repeat("x", 101), ready, port, http.StatusRequestEntityTooLarge, "", "too large"},
		{"too large, unknown length", path, "chunked:" + strings.Repeat("x", 101), ready, port, http.StatusRequestEntityTooLarge, "", "too large"},
		{"starting", path, "", activation.WakeResponse{Verdict: activation.VerdictKnown, State: activation.Starting, Generation: 1, Expected: 2500 * time.Millisecond, Holds: time.Second}, port, http.StatusServiceUnavailable, "3", "starts"},
		{"cooling down", path, "", activation.WakeResponse{Verdict: activation.VerdictKnown, State: activation.Failed, Generation: 1, Expected: 90 * time.Second, Holds: time.Second}, port, http.StatusServiceUnavailable, "90", "can't be started"},
		{"damaged", path, "", activation.WakeResponse{Verdict: activation.VerdictDamaged, Holds: time.Second}, port, http.StatusServiceUnavailable, "1", "can't be started"},
		{"no leader", path, "", activation.WakeResponse{Reason: "no leader yet"}, port, http.StatusServiceUnavailable, "1", "no leader yet"},
		{"connection refused", path, "hi", ready, closedPort, http.StatusServiceUnavailable, "1", "nothing was sent"},
		{"aborted by the server", "/models/job-000001/dies", "hi", ready, port, http.StatusBadGateway, "", "may have carried"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url := startHandler(t, tc.response, Limits{MaxHeld: 1, MaxConcurrent: 1}, "{host}:"+tc.port+"/{model}")
			for range 2 { // the second request is granted only if the handler has released the first
				var body io.Reader = strings.NewReader(tc.body)
				if chunked, ok := strings.CutPrefix(tc.body, "chunked:"); ok {
					body = io.MultiReader(strings.NewReader(chunked))
				}
				status, retryAfter, text := post(t, url+tc.path, body)
				if status != tc.status || retryAfter != tc.retryAfter || !strings.Contains(text, tc.contains) {
					t.Errorf("response %d, Retry-After %q, %s; want %d, %q, with %q", status, retryAfter, text, tc.status, tc.retryAfter, tc.contains)
				}
			}
		})
	}
}

// If the model's server doesn't listen yet, the handler retries the connection until the request's deadline.
func TestHandlerRetriesConnection(t *testing.T) {
	address := freeAddress(t)
	var served atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
	defer server.Close()
	time.AfterFunc(300*time.Millisecond, func() {
		if l, err := net.Listen("tcp", address); err == nil {
			_ = server.Serve(l)
		}
	})
	limits := Limits{MaxHeld: 9, MaxConcurrent: 9, HoldTimeout: 10 * time.Second}
	url := startHandler(t, knownResponse(activation.Ready, 1, address), limits, "{host}:"+portOf(t, address))
	status, _, text := post(t, url+"/models/job-000001/x", strings.NewReader("hi"))
	if status != http.StatusOK || served.Load() != 1 {
		t.Errorf("response %d %s, request served %d times; want 200, once", status, text, served.Load())
	}
}
