package transport

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"sagevale/internal/api"
	"sagevale/internal/worker"
)

const submission = `{"Id":"job-000412","Bracket":"train","Owner":"vision","Shape":"sweep","Urgency":"high","Chores":16,
"Cpus":8.0,"Gpus":1.0,"MemoryGb":64.0,"Kit":"img-07","ImageGb":6.2,"Breeds":null,"SamePlace":true,
"Scatter":false,"Loaner":true,"ExpectedS":240.0,"BookmarkS":30.0,"StowS":4.0}`

const idleReport = `{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":1,"Baton":0,"Chores":[]}`

func TestServerResponses(t *testing.T) {
	running := api.Response{Code: api.CodeOK, ID: "000412", State: api.StateRunning, Done: 3, Running: 13}
	for _, tc := range []struct {
		name, method, path, body string
		response                 api.Response
		heartbeatResponse        worker.HeartbeatResponse
		status                   int
		contains                 string
	}{
		{name: "submission", method: "POST", path: "/v1/jobs", body: submission, response: api.Response{Code: api.CodeCreated, ID: "000412"}, status: 201, contains: `"Standing":"pending"`},
		{name: "repeated submission", method: "POST", path: "/v1/jobs", body: submission, response: running, status: 200, contains: `"Standing":"running","done":3,"running":13`},
		{name: "malformed submission", method: "POST", path: "/v1/jobs", body: `{"Id":7}`, status: 400, contains: `"error":"Id`},
		{name: "large submission", method: "POST", path: "/v1/jobs", body: strings.Repeat(" ", 65<<10) + submission, status: 400, contains: "64 KiB"},
		{name: "infeasible", method: "POST", path: "/v1/jobs", body: submission, response: api.Response{Code: api.CodeInfeasible, Reason: "unknown team"}, status: 422, contains: "unknown team"},
		{name: "unavailable", method: "POST", path: "/v1/jobs", body: submission, response: api.Unavailable("000412", "no leader yet"), status: 503, contains: "no leader yet"},
		{name: "busy", method: "POST", path: "/v1/jobs", body: submission, response: api.Response{Code: api.CodeBusy, RetrySeconds: 7}, status: 429},
		{name: "poll", method: "GET", path: "/v1/jobs/job-000412", response: running, status: 200, contains: `"Id":"job-000412"`},
		{name: "poll of unknown job", method: "GET", path: "/v1/jobs/job-000413", response: api.Response{Code: api.CodeNotFound}, status: 404},
		{name: "poll of invalid job id", method: "GET", path: "/v1/jobs/x", response: running, status: 404},
		{name: "cancellation", method: "POST", path: "/v1/jobs/job-000412/cancel", response: api.Response{Code: api.CodeOK, ID: "000412", State: api.StateCancelled}, status: 200, contains: `"aborted"`},
		{name: "wrong method", method: "DELETE", path: "/v1/jobs/job-000412", response: running, status: 405},
		{name: "wrong path", method: "GET", path: "/v2", status: 404},
		{name: "health check", method: "GET", path: "/up", status: 200},
		{name: "heartbeat", method: "POST", path: "/agent/beat", body: idleReport, heartbeatResponse: worker.HeartbeatResponse{Accepted: true, Token: 41}, status: 200, contains: `{"Baton":41,"Orders":[]}`},
		{name: "heartbeat redirected", method: "POST", path: "/agent/beat", body: idleReport, heartbeatResponse: worker.HeartbeatResponse{Leader: "herder-2"}, status: 421, contains: `"Steward":"herder-2"`},
		{name: "heartbeat refused", method: "POST", path: "/agent/beat", body: idleReport, heartbeatResponse: worker.HeartbeatResponse{Busy: true}, status: 503},
		{name: "malformed heartbeat", method: "POST", path: "/agent/beat", body: "{}", status: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := NewServer(&fakeController{tc.response, tc.heartbeatResponse}, Limits{Sockets: 1000}, discardLogger)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
			if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.contains) {
				t.Errorf("response %d %s, want %d with %q", w.Code, w.Body, tc.status, tc.contains)
			}
			if !json.Valid(w.Body.Bytes()) {
				t.Errorf("body isn't JSON: %s", w.Body)
			}
			retryAfter := w.Header().Get("Retry-After")
			if got, want := retryAfter != "", tc.status == 503 || tc.status == 429; got != want {
				t.Errorf("Retry-After is %q, want it set: %v", retryAfter, want)
			}
		})
	}
}
