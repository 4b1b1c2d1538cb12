package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/protocol"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// How long the parties wait for an answer, by the protocol; the server's own
// limits are shares of these.
const (
	submitTimeout    = 5 * time.Second
	pollTimeout      = 2 * time.Second
	heartbeatTimeout = 4 * time.Second
	timeoutShare     = 0.6
)

// Controller is what the server serves.
type Controller interface {
	HandleUserRequest(ctx context.Context, req api.Request) api.Response
	HandleHeartbeat(ctx context.Context, r *worker.Report) worker.HeartbeatResponse
	Ready() bool
}

// Server answers users and workers over HTTP.
type Server struct {
	node    Controller
	bounds  Bounds
	bodies  bodyAdmission
	limiter atomic.Pointer[connLimiter] // once it serves
	log     *slog.Logger
	http    *http.Server
}

// NewServer makes a server for a node within its bounds.
func NewServer(node Controller, bounds Bounds, log *slog.Logger) *Server {
	s := &Server{node: node, bounds: bounds, bodies: newBodyAdmission(bounds), log: log}
	s.http = &http.Server{
		Handler:           s,
		ConnContext:       withLimitedConn,
		ReadHeaderTimeout: submitTimeout,
		ReadTimeout:       2 * submitTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve answers on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	limiter := newConnLimiter(l, s.bounds)
	s.limiter.Store(limiter)
	if err := s.http.Serve(limiter); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Connections is how many accepted connections are open.
func (s *Server) Connections() int64 {
	limiter := s.limiter.Load()
	if limiter == nil {
		return 0
	}
	return limiter.open.Load()
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("request panicked", "path", r.URL.Path, "panic", p)
			refuse(w, http.StatusServiceUnavailable, "internal trouble", 1)
		}
	}()
	path := r.URL.Path
	switch {
	case path == "/agent/beat":
		if onlyMethod(w, r, http.MethodPost) {
			s.heartbeat(w, r)
		}
	case path == "/up":
		if onlyMethod(w, r, http.MethodGet) {
			s.health(w)
		}
	case path == "/v1/jobs":
		if onlyMethod(w, r, http.MethodPost) {
			s.submit(w, r)
		}
	case strings.HasPrefix(path, "/v1/jobs/"):
		rest := strings.TrimPrefix(path, "/v1/jobs/")
		if id, ok := strings.CutSuffix(rest, "/cancel"); ok {
			if onlyMethod(w, r, http.MethodPost) {
				s.jobRequest(w, r, api.OpCancel, id, submitTimeout)
			}
			return
		}
		if onlyMethod(w, r, http.MethodGet) {
			s.jobRequest(w, r, api.OpPoll, rest, pollTimeout)
		}
	default:
		refuse(w, http.StatusNotFound, "no such path", 0)
	}
}

func onlyMethod(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method || method == http.MethodGet && r.Method == http.MethodHead {
		return true
	}
	w.Header().Set("Allow", method)
	refuse(w, http.StatusMethodNotAllowed, "method not allowed", 0)
	return false
}

func (s *Server) health(w http.ResponseWriter) {
	if !s.node.Ready() {
		refuse(w, http.StatusServiceUnavailable, "not able to take requests", 1)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// buffers are for requests' bodies; none outlasts its request.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// withBody reads a request's body within the protocol's limit and hands it to use,
// which must not keep it.
func (s *Server) withBody(w http.ResponseWriter, r *http.Request, use func(body []byte)) {
	if r.ContentLength > protocol.MaxBody {
		refuseLarge(w)
		return
	}
	release, ok := s.bodies.admit(r.ContentLength)
	if !ok {
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusServiceUnavailable, "too many large requests at once", 1)
		return
	}
	defer release()
	buf := buffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= pooledBody {
			buffers.Put(buf)
		}
	}()
	buf.Reset()
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead) // it need not grow while it is read
	}
	if _, err := buf.ReadFrom(io.LimitReader(r.Body, protocol.MaxBody+1)); err != nil {
		refuse(w, http.StatusBadRequest, "body not readable", 0)
		return
	}
	if buf.Len() > protocol.MaxBody {
		refuseLarge(w)
		return
	}
	use(buf.Bytes())
}

// refuseLarge refuses a body over the limit, and what may be left of it.
func refuseLarge(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	refuse(w, http.StatusBadRequest, "body over 64 KiB", 0)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	var spec storage.Spec
	understood := false
	s.withBody(w, r, func(body []byte) {
		var err error
		if spec, err = protocol.ParseSubmission(body); err != nil {
			refuse(w, http.StatusBadRequest, err.Error(), 0)
			return
		}
		understood = true
	})
	if !understood {
		return
	}
	s.ask(w, r, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}, submitTimeout)
}

func (s *Server) jobRequest(w http.ResponseWriter, r *http.Request, op api.Op, name string, timeout time.Duration) {
	id, ok := protocol.JobID(name)
	if !ok {
		refuse(w, http.StatusNotFound, "no such job", 0)
		return
	}
	s.ask(w, r, api.Request{Op: op, ID: id}, timeout)
}

func (s *Server) ask(w http.ResponseWriter, r *http.Request, req api.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(float64(timeout)*timeoutShare))
	defer cancel()
	a := s.node.HandleUserRequest(ctx, req)
	switch a.Code {
	case api.CodeCreated:
		reply(w, http.StatusCreated, protocol.NewJobAnswer(a))
	case api.CodeOK:
		reply(w, http.StatusOK, protocol.NewJobAnswer(a))
	case api.CodeNotFound:
		refuse(w, http.StatusNotFound, a.Reason, 0)
	case api.CodeInfeasible:
		refuse(w, http.StatusUnprocessableEntity, a.Reason, 0)
	case api.CodeBusy:
		refuse(w, http.StatusTooManyRequests, a.Reason, a.RetrySeconds)
	default:
		refuse(w, http.StatusServiceUnavailable, a.Reason, a.RetrySeconds)
	}
}

// readReport reads a worker's report, with what is known of its connection if there is
// one; nil if it is refused.
func (s *Server) readReport(w http.ResponseWriter, r *http.Request, conn *limitedConn) (report *worker.Report) {
	parse := protocol.ParseReport
	if conn != nil {
		parse = conn.reports.Read
	}
	s.withBody(w, r, func(body []byte) {
		var err error
		if report, err = parse(body); err != nil {
			s.log.Debug("report not understood", "err", err)
			refuse(w, http.StatusBadRequest, err.Error(), 0)
		}
	})
	return report
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	g := limitedConnOf(r.Context())
	report := s.readReport(w, r, g)
	if report == nil {
		return
	}
	if g != nil {
		g.busy.Store(true)
		defer g.busy.Store(false)
		if !g.markWorker() {
			w.Header().Set("Connection", "close")
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(float64(heartbeatTimeout)*timeoutShare))
	defer cancel()
	a := s.node.HandleHeartbeat(ctx, report)
	if !a.Accepted {
		w.Header().Set("Connection", "close") // it goes elsewhere
	}
	switch {
	case a.Accepted:
		reply(w, http.StatusOK, protocol.NewHeartbeatResponse(a))
	case a.Busy:
		refuse(w, http.StatusServiceUnavailable, "not able to take reports now", 1)
	default:
		reply(w, http.StatusMisdirectedRequest, protocol.Redirect{Leader: a.Leader, Error: "not the leader"})
	}
}

// refuse answers with a reason and, where repeating makes sense, with when to
// come back.
func refuse(w http.ResponseWriter, status int, reason string, retryS int) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, retryS)))
	}
	reply(w, status, protocol.Refusal{Error: reason})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	// A reader that has gone away is no concern of ours.
	_, _ = w.Write(raw)
}
