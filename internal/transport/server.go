package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/protocol"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// The protocol defines how long clients wait for a response. The controller has handlerTimeoutShare of that time to
// handle a request.
const (
	submitTimeout       = 5 * time.Second
	pollTimeout         = 2 * time.Second
	heartbeatTimeout    = 4 * time.Second
	handlerTimeoutShare = 0.6
)

// Limits of the HTTP server on a single request and on an idle connection.
const (
	headerReadTimeout  = submitTimeout
	requestReadTimeout = 2 * submitTimeout
	idleTimeout        = time.Minute
	maxHeaderBytes     = 16 << 10
)

// URL paths for workers, health checks and users.
const (
	heartbeatPath = "/agent/beat"
	healthPath    = "/up"
	jobsPath      = "/v1/jobs"
	jobPathPrefix = jobsPath + "/"
	cancelSuffix  = "/cancel"
)

// unavailableRetrySeconds is the Retry-After value, in seconds, of the 503 responses for which the controller doesn't
// choose the value.
const unavailableRetrySeconds = 1

// Controller handles the requests of users and workers. Its methods are called from several goroutines.
type Controller interface {
	// HandleUserRequest handles a user's request. It must return soon after ctx ends.
	HandleUserRequest(ctx context.Context, req api.Request) api.Response
	// HandleHeartbeat handles a worker's heartbeat. It must return soon after ctx ends.
	HandleHeartbeat(ctx context.Context, r *worker.Report) worker.HeartbeatResponse
	// Ready reports whether this controller can take requests. It is called for each health check, and the check succeeds
	// only if it returns true.
	Ready() bool
}

// Server serves users, workers and health checks over HTTP.
type Server struct {
	controller Controller
	limits     Limits
	bodies     bodyLimiter
	limiter    atomic.Pointer[connLimiter] // nil before Serve
	log        *slog.Logger
	http       *http.Server
}

// NewServer returns a server. The server derives from limits how many connections it keeps open and how much memory it uses
// for request bodies.
func NewServer(controller Controller, limits Limits, log *slog.Logger) *Server {
	s := &Server{controller: controller, limits: limits, bodies: newBodyLimiter(limits), log: log}
	s.http = &http.Server{
		Handler:           s,
		ConnContext:       withLimitedConn,
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       requestReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve serves requests on l until ctx ends. It then closes all connections and returns nil. It must be called only
// once.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	limiter := newConnLimiter(l, s.limits)
	s.limiter.Store(limiter)
	if err := s.http.Serve(limiter); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Connections returns the number of accepted connections that are open.
func (s *Server) Connections() int64 {
	limiter := s.limiter.Load()
	if limiter == nil {
		return 0
	}
	return limiter.openConns.Load()
}

// ServeHTTP implements http.Handler. It uses the path of a request exactly as received. http.ServeMux isn't used because
// it would redirect requests whose path isn't in canonical form, for example because of a double slash.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverPanic(w, r)
	switch path := r.URL.Path; {
	case path == heartbeatPath:
		s.serveHeartbeat(w, r)
	case path == healthPath:
		s.serveHealth(w, r)
	case path == jobsPath:
		s.serveSubmission(w, r)
	case strings.HasPrefix(path, jobPathPrefix):
		s.serveJob(w, r, strings.TrimPrefix(path, jobPathPrefix))
	default:
		writeError(w, http.StatusNotFound, "no such path", 0)
	}
}

// recoverPanic writes an error response if the handler of the request has panicked. It must be deferred.
func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request) {
	if p := recover(); p != nil {
		s.log.Error("request panicked", "path", r.URL.Path, "panic", p)
		writeError(w, http.StatusServiceUnavailable, "internal trouble", unavailableRetrySeconds)
	}
}

// serveHealth responds to a load balancer's health check.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !allowMethod(w, r, http.MethodGet) {
		return
	}
	if !s.controller.Ready() {
		writeError(w, http.StatusServiceUnavailable, "not able to take requests", unavailableRetrySeconds)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// serveSubmission handles a user's submission of a job.
func (s *Server) serveSubmission(w http.ResponseWriter, r *http.Request) {
	if !allowMethod(w, r, http.MethodPost) {
		return
	}
	var spec storage.Spec
	valid := false
	s.readBody(w, r, func(body []byte) {
		var err error
		if spec, err = protocol.ParseSubmission(body); err != nil {
			writeError(w, http.StatusBadRequest, err.Error(), 0)
			return
		}
		valid = true
	})
	if !valid {
		return
	}
	s.handleUserRequest(w, r, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}, submitTimeout)
}

// serveJob handles a user's poll or cancellation of a job. name is the part of the path after jobPathPrefix.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, name string) {
	method, op, timeout := http.MethodGet, api.OpPoll, pollTimeout
	if job, ok := strings.CutSuffix(name, cancelSuffix); ok {
		name = job
		method, op, timeout = http.MethodPost, api.OpCancel, submitTimeout
	}
	if !allowMethod(w, r, method) {
		return
	}
	id, ok := protocol.ParseJobID(name)
	if !ok {
		writeError(w, http.StatusNotFound, "no such job", 0)
		return
	}
	s.handleUserRequest(w, r, api.Request{Op: op, ID: id}, timeout)
}

// handleUserRequest passes a request to the controller and writes the controller's response. timeout is how long the
// client waits for the response.
func (s *Server) handleUserRequest(w http.ResponseWriter, r *http.Request, req api.Request, timeout time.Duration) {
	ctx, cancel := handlerContext(r, timeout)
	defer cancel()
	response := s.controller.HandleUserRequest(ctx, req)
	switch response.Code {
	case api.CodeCreated:
		writeJSON(w, http.StatusCreated, protocol.NewJobStatus(response))
	case api.CodeOK:
		writeJSON(w, http.StatusOK, protocol.NewJobStatus(response))
	case api.CodeNotFound:
		writeError(w, http.StatusNotFound, response.Reason, 0)
	case api.CodeInfeasible:
		writeError(w, http.StatusUnprocessableEntity, response.Reason, 0)
	case api.CodeBusy:
		writeError(w, http.StatusTooManyRequests, response.Reason, response.RetrySeconds)
	default:
		writeError(w, http.StatusServiceUnavailable, response.Reason, response.RetrySeconds)
	}
}

// serveHeartbeat handles a worker's heartbeat. The connection is closed after the response if too many worker
// connections are open. It is also closed if the heartbeat isn't accepted, because the worker then sends its heartbeats to
// another controller.
func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	if !allowMethod(w, r, http.MethodPost) {
		return
	}
	conn := limitedConnFrom(r.Context())
	report := s.readReport(w, r, conn)
	if report == nil {
		return
	}
	if conn != nil {
		conn.busy.Store(true)
		defer conn.busy.Store(false)
		if !conn.markWorker() {
			closeAfterResponse(w)
		}
	}
	ctx, cancel := handlerContext(r, heartbeatTimeout)
	defer cancel()
	response := s.controller.HandleHeartbeat(ctx, report)
	if !response.Accepted {
		closeAfterResponse(w)
	}
	switch {
	case response.Accepted:
		writeJSON(w, http.StatusOK, protocol.NewHeartbeatResponse(response))
	case response.Busy:
		writeError(w, http.StatusServiceUnavailable, "not able to take reports now", unavailableRetrySeconds)
	default:
		writeJSON(w, http.StatusMisdirectedRequest, protocol.Redirect{Leader: response.Leader, Error: "not the leader"})
	}
}

// readReport reads the report in the body of a heartbeat. If conn is not nil, it uses the connection's ReportReader,
// which caches the previous report. If it can't read the report, it writes an error response and returns nil.
func (s *Server) readReport(w http.ResponseWriter, r *http.Request, conn *limitedConn) (report *worker.Report) {
	parse := protocol.ParseReport
	if conn != nil {
		parse = conn.reportReader.Read
	}
	s.readBody(w, r, func(body []byte) {
		var err error
		if report, err = parse(body); err != nil {
			s.log.Debug("heartbeat decoding failed", "error", err)
			writeError(w, http.StatusBadRequest, err.Error(), 0)
		}
	})
	return report
}

// handlerContext returns the context in which the controller handles a request. timeout is how long the client waits for
// the response. The context ends after handlerTimeoutShare of timeout.
func handlerContext(r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), time.Duration(float64(timeout)*handlerTimeoutShare))
}
