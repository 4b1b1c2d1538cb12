package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// maxResponseBytes limits how much of a response body is read. A longer body is truncated.
	maxResponseBytes = 16 << 20
	// connectTimeout limits how long opening a connection may take.
	connectTimeout = 2 * time.Second
	// The following limits on idle connections are for the clients that newServerClient returns.
	idleConnsPerServer = 4
	maxIdleConns       = 8
	idleConnTimeout    = time.Minute
)

// jsonClient sends HTTP requests with JSON bodies. It never retries a request and never follows a redirect.
type jsonClient struct {
	http *http.Client
}

// newJSONClient returns a client that keeps idle connections for idleTimeout. It keeps at most perHost idle connections
// to each server, and at most total idle connections to all servers.
func newJSONClient(perHost, total int, idleTimeout time.Duration) *jsonClient {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &jsonClient{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        total,
			MaxIdleConnsPerHost: perHost,
			MaxConnsPerHost:     0,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// newServerClient returns a client that is meant for concurrent requests to a single server.
func newServerClient() *jsonClient {
	return newJSONClient(idleConnsPerServer, maxIdleConns, idleConnTimeout)
}

// httpResponse is the status code and body of a server's response.
type httpResponse struct {
	status int
	body   []byte
}

// do sends one request with the JSON of in as its body, or without a body if in is nil. If it returns an error, sent
// reports whether the server may have received the request.
func (c *jsonClient) do(ctx context.Context, method, url string, in any) (_ httpResponse, sent bool, err error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return httpResponse{}, false, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return httpResponse{}, false, fmt.Errorf("make request: %w", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return httpResponse{}, connected.Load(), fmt.Errorf("%s %s: %w", method, req.URL.Path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return httpResponse{}, true, fmt.Errorf("%s %s: read response: %w", method, req.URL.Path, err)
	}
	return httpResponse{resp.StatusCode, raw}, true, nil
}

// decode decodes the response's JSON body into out. It does nothing if out is nil.
func (r httpResponse) decode(out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
