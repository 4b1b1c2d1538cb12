package activator

import (
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// modelPattern is the pattern of the paths that a Handler serves.
const modelPattern = "/models/{model}/{rest...}"

// minRetryAfter is the least Retry-After of a request that is refused.
const minRetryAfter = time.Second

// Config configures a Handler.
type Config struct {
	Target       string // template of the addresses of models' servers: see Target
	MaxBodyBytes int64  // the largest request body, in bytes
	// ModelOf returns the model that a path element names; ok is false if it names none.
	ModelOf func(element string) (model string, ok bool)
}

// Handler serves requests for models, under /models/{model}/. Each request gets one final response: the model's, or an
// error if there is none. It implements http.Handler.
type Handler struct {
	tracker *Tracker
	config  Config
	proxy   *httputil.ReverseProxy
	mux     *http.ServeMux
	log     *slog.Logger
}

// NewHandler returns a handler that has its requests decided by tracker, whose Run is to be called elsewhere.
func NewHandler(tracker *Tracker, config Config, log *slog.Logger) *Handler {
	h := &Handler{tracker: tracker, config: config, log: log, mux: http.NewServeMux()}
	h.proxy = &httputil.ReverseProxy{
		Rewrite: rewrite,
		// Each request has a connection of its own: on one that was kept alive, the transport may send a request
		// again after the server has received it.
		Transport:    &http.Transport{DisableKeepAlives: true, DialContext: dialRequest},
		ErrorHandler: h.handleProxyError,
		ErrorLog:     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	h.mux.HandleFunc(modelPattern, h.serveModel)
	return h
}

// rewrite directs a proxied request to its connection's target.
func rewrite(r *httputil.ProxyRequest) {
	if c := connectionFrom(r.In.Context()); c != nil {
		r.SetURL(c.target)
		r.SetXForwarded()
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	element := r.PathValue("model")
	model, ok := h.config.ModelOf(element)
	if !ok {
		writeError(w, http.StatusNotFound, "no such model", 0)
		return
	}
	if r.ContentLength > h.config.MaxBodyBytes {
		writeBodyTooLarge(w)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, h.config.MaxBodyBytes)
	c, decision := h.connect(r.Context(), model, element)
	switch decision.Outcome {
	case Granted:
		defer h.tracker.Release(model)
		defer c.Close()
		h.forward(w, r, c)
	case Unknown:
		writeError(w, http.StatusNotFound, decision.Reason, 0)
	case TimedOut:
		writeError(w, http.StatusGatewayTimeout, decision.Reason, decision.RetryAfter)
	case Refused:
		writeError(w, http.StatusServiceUnavailable, decision.Reason, max(decision.RetryAfter, minRetryAfter))
	}
}

// forward forwards a request over its connection, once.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, c *connection) {
	out := r.WithContext(withConnection(r.Context(), c))
	out.URL.Path = "/" + r.PathValue("rest")
	out.URL.RawPath = ""
	h.proxy.ServeHTTP(w, out)
}

// handleProxyError responds to a request that has no response of its model.
func (h *Handler) handleProxyError(w http.ResponseWriter, _ *http.Request, err error) {
	h.log.Debug("model request failed", "error", err)
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		writeBodyTooLarge(w)
		return
	}
	writeError(w, http.StatusBadGateway, "the model has not answered; it may have carried the request out", 0)
}

// errorResponse is the body of a response that isn't the model's.
type errorResponse struct {
	Error string `json:"error"`
}

func writeBodyTooLarge(w http.ResponseWriter) {
	writeError(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
}

// writeError writes an error response, with a Retry-After in whole seconds unless that is 0.
func writeError(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	// A client that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(errorResponse{reason})
}
