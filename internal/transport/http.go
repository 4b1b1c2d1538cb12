package transport

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"sagevale/internal/protocol"
)

// maxPooledBuffer is the largest buffer, in bytes, that is kept for further requests.
const maxPooledBuffer = 4 * smallBodyBytes

// bodyBuffers are buffers for request bodies; none is used after its request.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readBody reads a request's body and passes it to use, which must not retain it. If the body is too large,
// can't be read, or finds no memory, readBody writes an error and doesn't call use.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, use func(body []byte)) {
	if r.ContentLength > protocol.MaxBodyBytes {
		writeBodyTooLarge(w)
		return
	}
	release, ok := s.bodies.acquire(r.ContentLength)
	if !ok {
		closeAfterResponse(w)
		writeError(w, http.StatusServiceUnavailable, "too many large requests at once", unavailableRetryS)
		return
	}
	defer release()
	buf := bodyBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBuffer {
			bodyBuffers.Put(buf)
		}
	}()
	buf.Reset()
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead) // ReadFrom then doesn't grow it
	}
	if _, err := buf.ReadFrom(io.LimitReader(r.Body, protocol.MaxBodyBytes+1)); err != nil {
		writeError(w, http.StatusBadRequest, "body not readable", 0)
		return
	}
	if buf.Len() > protocol.MaxBodyBytes {
		writeBodyTooLarge(w)
		return
	}
	use(buf.Bytes())
}

// allowMethod reports whether a request has the method, or HEAD in place of GET. If not, it writes an error.
func allowMethod(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method || method == http.MethodGet && r.Method == http.MethodHead {
		return true
	}
	w.Header().Set("Allow", method)
	writeError(w, http.StatusMethodNotAllowed, "method not allowed", 0)
	return false
}

// closeAfterResponse has the connection closed after the response. It must be called before that is written.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// writeBodyTooLarge rejects a body over the protocol's limit, of which some may be left to read.
func writeBodyTooLarge(w http.ResponseWriter) {
	closeAfterResponse(w)
	writeError(w, http.StatusBadRequest, "body over 64 KiB", 0)
}

// writeError writes an error response. If its status is one after which clients retry, they are to do so after
// retrySeconds, at least one.
func writeError(w http.ResponseWriter, status int, reason string, retrySeconds int) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, retrySeconds)))
	}
	writeJSON(w, status, protocol.ErrorResponse{Error: reason})
}

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		// The bodies of this package can all be encoded.
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	// A client that has disconnected needs no response.
	_, _ = w.Write(raw)
}
