package activator

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// TargetHost and TargetModel stand for the host of a model's machine, and for the model's id, in a target.
const (
	TargetHost  = "{host}"
	TargetModel = "{model}"
)

// DefaultTarget is the address of a model's server where operators set none.
const DefaultTarget = TargetHost + ":8000"

// Target makes the URL of a model's server on a machine, whose address has a port or none. An empty
// template is the default.
func Target(template, machine, model string) (*url.URL, error) {
	if template == "" {
		template = DefaultTarget
	}
	host, _, err := net.SplitHostPort(machine)
	if err != nil {
		host = machine
	}
	return url.Parse("http://" + strings.NewReplacer(TargetHost, host, TargetModel, model).Replace(template))
}

// Config is what a handler needs beside its tracker.
type Config struct {
	Target string // see Target
	Body   int64  // the largest request body, in bytes
	// ModelOf returns the model that a path element names; ok is false where it names none.
	ModelOf func(element string) (model string, ok bool)
}

// Handler answers requests for models, under /models/{model}/. Each has one final answer: the model's,
// or one that tells why there is none. It implements http.Handler.
type Handler struct {
	tracker *Tracker
	config  Config
	proxy   *httputil.ReverseProxy
	mux     *http.ServeMux
	log     *slog.Logger
}

// connectionKey is the context's key for the connection that a request goes over.
type connectionKey struct{}

// connection is an open connection to a model's server.
type connection struct {
	net.Conn
	target *url.URL
}

const (
	// dialTimeout is the longest that a connection to a model's server may take.
	dialTimeout = 2 * time.Second
	// firstRedial is the pause before a server that refused a connection is tried again, doubled
	// after each up to longestRedial.
	firstRedial   = 50 * time.Millisecond
	longestRedial = time.Second
)

// errNotConnected says that a request has no connection: nothing was sent.
var errNotConnected = errors.New("no connection to the model's server")

// NewHandler makes a handler over a tracker that runs.
func NewHandler(tracker *Tracker, config Config, log *slog.Logger) *Handler {
	h := &Handler{tracker: tracker, config: config, log: log, mux: http.NewServeMux()}
	h.proxy = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			if c, ok := r.In.Context().Value(connectionKey{}).(*connection); ok {
				r.SetURL(c.target)
				r.SetXForwarded()
			}
		},
		// A connection for each request: on one that was kept, a request may be sent a second time
		// after the server has seen it.
		Transport:    &http.Transport{DisableKeepAlives: true, DialContext: connectionOf},
		ErrorHandler: h.notPassedOn,
		ErrorLog:     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	h.mux.HandleFunc("/models/{model}/{rest...}", h.serveModel)
	return h
}

// connectionOf hands a request the connection that was made for it.
func connectionOf(ctx context.Context, _, _ string) (net.Conn, error) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		return c.Conn, nil
	}
	return nil, errNotConnected
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	element := r.PathValue("model")
	model, ok := h.config.ModelOf(element)
	if !ok {
		refuse(w, http.StatusNotFound, "no such model", 0)
		return
	}
	if r.ContentLength > h.config.Body {
		refuse(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, h.config.Body)
	c, decision := h.connect(r.Context(), model, element)
	switch decision.Outcome {
	case Granted:
		defer h.tracker.Release(model)
		defer c.Close()
		h.passOn(w, r, c)
	case Unknown:
		refuse(w, http.StatusNotFound, decision.Reason, 0)
	case TimedOut:
		refuse(w, http.StatusGatewayTimeout, decision.Reason, decision.RetryAfter)
	case Refused:
		refuse(w, http.StatusServiceUnavailable, decision.Reason, max(decision.RetryAfter, time.Second))
	}
}

// connect makes a connection for a request, once the model answers: a server may run and not listen
// yet, or have gone to another machine since. Nothing is sent over it.
func (h *Handler) connect(ctx context.Context, model, element string) (*connection, Decision) {
	deadline := h.tracker.Deadline()
	for pause := firstRedial; ; pause = min(2*pause, longestRedial) {
		decision := h.tracker.AcquireBy(ctx, model, deadline)
		if decision.Outcome != Granted {
			return nil, decision
		}
		c, err := h.dial(ctx, decision.Response.Machine, element)
		if err == nil {
			return c, decision
		}
		h.tracker.Release(model)
		h.log.Debug("model not reached", "model", model, "machine", decision.Response.Machine, "err", err)
		unreached := Decision{Response: decision.Response, Reason: "the model can't be reached; nothing was sent to it"}
		if !time.Now().Add(pause).Before(deadline) {
			return nil, unreached
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, unreached
		}
	}
}

// dial connects to a model's server on a machine.
func (h *Handler) dial(ctx context.Context, machine, element string) (*connection, error) {
	target, err := Target(h.config.Target, machine, element)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", target.Host)
	if err != nil {
		return nil, err
	}
	return &connection{c, target}, nil
}

// passOn passes a request on over its connection, once.
func (h *Handler) passOn(w http.ResponseWriter, r *http.Request, c *connection) {
	out := r.WithContext(context.WithValue(r.Context(), connectionKey{}, c))
	out.URL.Path = "/" + r.PathValue("rest")
	out.URL.RawPath = ""
	h.proxy.ServeHTTP(w, out)
}

// notPassedOn answers a request that has no answer of its model.
func (h *Handler) notPassedOn(w http.ResponseWriter, _ *http.Request, err error) {
	h.log.Debug("request not answered by its model", "err", err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return
	}
	refuse(w, http.StatusBadGateway, "the model has not answered; it may have carried the request out", 0)
}

// refusal is the body of an answer that isn't the model's.
type refusal struct {
	Error string `json:"error"`
}

// refuse answers with a status and a reason, and with a time to come again unless that is 0.
func refuse(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	// A client that has gone doesn't read it.
	_ = json.NewEncoder(w).Encode(refusal{reason})
}
