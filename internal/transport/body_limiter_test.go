package transport

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"sagevale/internal/protocol"
)

func TestBodyLimiterBoundsMemory(t *testing.T) {
	l := newBodyLimiter(Limits{MemoryMB: 16}) // large bodies may occupy 1 MB of this memory
	var releases []func()
	for len(releases) < 100 {
		release, ok := l.acquire(protocol.MaxBodyBytes)
		if !ok {
			break
		}
		releases = append(releases, release)
	}
	if got, want := len(releases), 16; got != want {
		t.Errorf("%d bodies of 64 KiB at once, want %d", got, want)
	}
	if _, ok := l.acquire(-1); ok {
		t.Error("a body of unknown length is admitted without memory for it")
	}
	if _, ok := l.acquire(maxSmallBodyBytes); !ok {
		t.Error("a small body isn't admitted")
	}
	for _, release := range releases {
		release()
	}
	if _, ok := l.acquire(-1); !ok {
		t.Error("a body of unknown length isn't admitted though all memory is released")
	}
}

// startSlowRequests sends the headers of n submissions without their bodies. The channel receives the responses.
func startSlowRequests(t *testing.T, addr string, n int, header string) <-chan string {
	t.Helper()
	responses := make(chan string, n)
	for range n {
		conn := dial(t, addr)
		if _, err := fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header); err != nil {
			t.Fatal(err)
		}
		go func() {
			buf := make([]byte, 512)
			n, _ := conn.Read(buf) // after an error the response is empty
			responses <- string(buf[:n])
		}()
	}
	return responses
}

// Clients may send large bodies slowly, or never finish them. Such bodies must not occupy more memory than is reserved for
// bodies: the server must reject further large bodies at once and still serve small requests.
func TestServerRejectsSlowLargeBodies(t *testing.T) {
	const (
		requests   = 60
		bodyMemory = 1 << 20
	)
	for _, tc := range []struct {
		name, header string
		admitted     int
	}{
		{"known length", fmt.Sprintf("Content-Length: %d", protocol.MaxBodyBytes), bodyMemory / protocol.MaxBodyBytes},
		{"unknown length", "Transfer-Encoding: chunked", bodyMemory / protocol.MaxBodyBytes / 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := startServer(t, Limits{Sockets: 1000, MemoryMB: 16})
			responses := startSlowRequests(t, addr, requests, tc.header)
			for range requests - tc.admitted {
				response := <-responses
				for _, want := range []string{"HTTP/1.1 503", "Retry-After: 1", "Connection: close"} {
					if !strings.Contains(response, want) {
						t.Fatalf("response %q, want it to contain %q", response, want)
					}
				}
			}
			resp, err := http.Get("http://" + addr + "/v1/jobs/job-000412")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("a small request has status %d, %v; want 200", resp.StatusCode, err)
			}
		})
	}
}

// If the Content-Length of a request exceeds the limit, the server must reject the request without waiting for the body.
func TestServerRejectsLargeContentLengthBeforeBody(t *testing.T) {
	addr := startServer(t, Limits{Sockets: 100, MemoryMB: 16})
	response := <-startSlowRequests(t, addr, 1, "Content-Length: 100000000")
	if !strings.HasPrefix(response, "HTTP/1.1 400") || !strings.Contains(response, "Connection: close") {
		t.Errorf("response %q, want status 400 and Connection: close", response)
	}
}
