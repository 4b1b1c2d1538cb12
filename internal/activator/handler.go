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

// modelPattern is the pattern of the URL paths that a Handler serves.
const modelPattern = "/models/{model}/{rest...}"

// minRetryAfter is the minimum Retry-After in the response to a refused request.
const minRetryAfter = time.Second

// Config configures a Handler.
type Config struct {
	Target       string // template of the addresses of models' servers; see Target
	MaxBodyBytes int64  // maximum size of a request body
	// ModelOf returns the model that a path element names; ok is false if it names none.
	ModelOf func(element string) (model string, ok bool)
}

// Handler is the http.Handler for requests to models, under /models/{model}/. Each request gets one final response: the
// model's response, or an error response if the model sent none.
type Handler struct {
	tracker *Tracker
	config  Config
	proxy   *httputil.ReverseProxy
	mux     *http.ServeMux
	log     *slog.Logger
}

// NewHandler returns a handler that forwards or refuses requests according to the tracker's decisions. The caller must run
// the tracker.
func NewHandler(tracker *Tracker, config Config, log *slog.Logger) *Handler {
	h := &Handler{tracker: tracker, config: config, log: log, mux: http.NewServeMux()}
	h.proxy = &httputil.ReverseProxy{
		Rewrite: rewrite,
		// Each request has its own connection, because the transport may resend a request on a kept-alive connection
		// after the server has received it.
		Transport:    &http.Transport{DisableKeepAlives: true, DialContext: requestConnection},
		ErrorHandler: h.handleProxyError,
		ErrorLog:     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	h.mux.HandleFunc(modelPattern, h.serveModel)
	return h
}

// rewrite sets the URL and the X-Forwarded headers of a proxied request. The URL is that of the connection's target.
func rewrite(r *httputil.ProxyRequest) {
	if c := connectionFrom(r.In.Context()); c != nil {
		r.SetURL(c.target)
		r.SetXForwarded()
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// serveModel forwards a request to its model once the tracker has granted the request and a connection to the model is open.
// If that fails, serveModel responds with an error.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	pathElement := r.PathValue("model")
	model, ok := h.config.ModelOf(pathElement)
	if !ok {
		writeError(w, http.StatusNotFound, "no such model", 0)
		return
	}
	if r.ContentLength > h.config.MaxBodyBytes {
		writeBodyTooLarge(w)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, h.config.MaxBodyBytes)
	c, decision := h.connectGranted(r.Context(), model, pathElement)
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

// forward sends a request once over its connection, and copies the model's response to the client.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, c *connection) {
	out := r.WithContext(withConnection(r.Context(), c))
	out.URL.Path = "/" + r.PathValue("rest")
	out.URL.RawPath = ""
	h.proxy.ServeHTTP(w, out)
}

// handleProxyError responds to a request for which the model sent no response.
func (h *Handler) handleProxyError(w http.ResponseWriter, _ *http.Request, err error) {
	h.log.Debug("model request failed", "error", err)
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		writeBodyTooLarge(w)
		return
	}
	writeError(w, http.StatusBadGateway, "the model has not answered; it may have carried the request out", 0)
}

// errorResponse is the body of an error response that the controller itself sends.
type errorResponse struct {
	Error string `json:"error"`
}

// writeBodyTooLarge writes the error response to a request whose body is larger than Config.MaxBodyBytes.
func writeBodyTooLarge(w http.ResponseWriter) {
	writeError(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
}

// writeError writes an error response. A retryAfter above 0 is sent as Retry-After, rounded up to whole seconds.
func writeError(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	// A write error means that the client has disconnected, and is ignored.
	_ = json.NewEncoder(w).Encode(errorResponse{reason})
}
