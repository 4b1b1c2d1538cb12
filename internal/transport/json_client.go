// Package transport carries the protocols: the HTTP server for users and
// workers, the clients of the state service, the cloud and the workers, and
// the gob link between the controller nodes.
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

// answerLimit bounds what is read of one answer.
const answerLimit = 16 << 20

// client speaks JSON to one kind of server.
type client struct {
	http *http.Client
}

// newClient pools up to perHost connections to each server.
func newClient(perHost, total int, idle time.Duration) *client {
	dialer := &net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
	return &client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        total,
			MaxIdleConnsPerHost: perHost,
			MaxConnsPerHost:     0,
			IdleConnTimeout:     idle,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// exchange is one answered request.
type exchange struct {
	status int
	body   []byte
}

// do sends one request; sent tells whether any of it may have left.
func (c *client) do(ctx context.Context, method, url string, in any) (ex exchange, sent bool, err error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return ex, false, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return ex, false, fmt.Errorf("make request: %w", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ex, connected.Load(), fmt.Errorf("%s %s: %w", method, req.URL.Path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return ex, true, fmt.Errorf("%s %s: read answer: %w", method, req.URL.Path, err)
	}
	return exchange{resp.StatusCode, raw}, true, nil
}

func decode(raw []byte, out any) error {
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
