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

// maxPooledBufferBytes is the size of the largest buffer that is kept for later requests.
const maxPooledBufferBytes = 4 * maxSmallBodyBytes

// bodyBuffers holds reusable buffers for request bodies. Buffers larger than maxPooledBufferBytes aren't put back.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readBody reads a request's body and passes it to handleBody, which must not retain the body. If the body is too large
// or can't be read, or if no memory is left for it, readBody writes an error response and doesn't call handleBody.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, handleBody func(body []byte)) {
	if r.ContentLength > protocol.MaxBodyBytes {
		writeBodyTooLarge(w)
		return
	}
	release, ok := s.bodies.acquire(r.ContentLength)
	if !ok {
		closeAfterResponse(w)
		writeError(w, http.StatusServiceUnavailable, "too many large requests at once", unavailableRetrySeconds)
		return
	}
	defer release()
	buf := bodyBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBufferBytes {
			bodyBuffers.Put(buf)
		}
	}()
	buf.Reset()
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead) // so that ReadFrom doesn't grow the buffer
	}
	if _, err := buf.ReadFrom(io.LimitReader(r.Body, protocol.MaxBodyBytes+1)); err != nil {
		writeError(w, http.StatusBadRequest, "body not readable", 0)
		return
	}
	if buf.Len() > protocol.MaxBodyBytes {
		writeBodyTooLarge(w)
		return
	}
	handleBody(buf.Bytes())
}

// allowMethod reports whether a request has the given method. If the given method is GET, it also allows HEAD. If the
// request's method isn't allowed, allowMethod writes an error response.
func allowMethod(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method || method == http.MethodGet && r.Method == http.MethodHead {
		return true
	}
	w.Header().Set("Allow", method)
	writeError(w, http.StatusMethodNotAllowed, "method not allowed", 0)
	return false
}

// closeAfterResponse makes the server close the connection after the response. It must be called before the response is
// written.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// writeBodyTooLarge rejects a body that exceeds the protocol's limit. The connection is closed after the response,
// because a part of the body may still be unread.
func writeBodyTooLarge(w http.ResponseWriter) {
	closeAfterResponse(w)
	writeError(w, http.StatusBadRequest, "body over 64 KiB", 0)
}

// writeError writes an error response. For the statuses after which clients retry (429 and 503), it sets Retry-After to
// retrySeconds, or to 1 second if retrySeconds is less than 1.
func writeError(w http.ResponseWriter, status int, reason string, retrySeconds int) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, retrySeconds)))
	}
	writeJSON(w, status, protocol.ErrorResponse{Error: reason})
}

// writeJSON writes a response whose body is the JSON of body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		// This can't happen: all body types of this package can be encoded.
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	// A write error means that the client has disconnected and can't receive the response.
	_, _ = w.Write(raw)
}
