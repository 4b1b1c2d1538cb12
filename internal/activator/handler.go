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

// targetKey is the context's key for the URL that a request goes to.
type targetKey struct{}

// dialTimeout is the longest that a connection to a model's server may take.
const dialTimeout = 2 * time.Second

// NewHandler makes a handler over a tracker that runs.
func NewHandler(tracker *Tracker, config Config, log *slog.Logger) *Handler {
	h := &Handler{tracker: tracker, config: config, log: log, mux: http.NewServeMux()}
	h.proxy = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			if target, ok := r.In.Context().Value(targetKey{}).(*url.URL); ok {
				r.SetURL(target)
				r.SetXForwarded()
			}
		},
		// A connection for each request: on one that was kept, a request may be sent a second time
		// after the server has seen it.
		Transport:    &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		ErrorHandler: h.notPassedOn,
		ErrorLog:     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	h.mux.HandleFunc("/models/{model}/{rest...}", h.serveModel)
	return h
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
	decision := h.tracker.Acquire(r.Context(), model)
	switch decision.Outcome {
	case Granted:
		defer h.tracker.Release(model)
		h.passOn(w, r, decision.Response.Machine, element)
	case Unknown:
		refuse(w, http.StatusNotFound, decision.Reason, 0)
	case TimedOut:
		refuse(w, http.StatusGatewayTimeout, decision.Reason, decision.RetryAfter)
	case Refused:
		refuse(w, http.StatusServiceUnavailable, decision.Reason, max(decision.RetryAfter, time.Second))
	}
}

// passOn passes a request on, once.
func (h *Handler) passOn(w http.ResponseWriter, r *http.Request, machine, element string) {
	target, err := Target(h.config.Target, machine, element)
	if err != nil {
		h.log.Error("model has no address", "machine", machine, "err", err)
		refuse(w, http.StatusServiceUnavailable, "the model has no address", time.Second)
		return
	}
	out := r.WithContext(context.WithValue(r.Context(), targetKey{}, target))
	out.URL.Path = "/" + r.PathValue("rest")
	out.URL.RawPath = ""
	h.proxy.ServeHTTP(w, out)
}

// notPassedOn answers a request that has no answer of its model.
func (h *Handler) notPassedOn(w http.ResponseWriter, _ *http.Request, err error) {
	h.log.Debug("request not answered by its model", "err", err)
	var tooLarge *http.MaxBytesError
	var network *net.OpError
	switch {
	case errors.As(err, &tooLarge):
		refuse(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
	case errors.As(err, &network) && network.Op == "dial":
		refuse(w, http.StatusServiceUnavailable, "the model can't be reached; nothing was sent to it", time.Second)
	default:
		refuse(w, http.StatusBadGateway, "the model has not answered; it may have carried the request out", 0)
	}
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
