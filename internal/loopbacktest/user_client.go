package loopbacktest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxIdleUserConns bounds the idle connections of users to one controller.
	maxIdleUserConns = 256
	// userTimeout is the timeout of one request of a user.
	userTimeout = 3 * time.Second
	// retryPause is the pause between two requests of RequestWithRetry.
	retryPause = 50 * time.Millisecond
	// minRefusalPause is the minimum pause that the protocol requires of users after a refused submission.
	minRefusalPause = time.Second
	// pollTimeout is the time for which Poll retries.
	pollTimeout = 20 * time.Second
)

// errNoDecision means that a request has no result and may be retried: the controller could not process the request yet, or
// its response was not received.
var errNoDecision = errors.New("undecided")

// JobStatus is a controller's response to a user's request. If the response asks for a retry, only Code and RetryAfter are
// set.
type JobStatus struct {
	Code    int    `json:"Status"`   // HTTP status code
	State   string `json:"Standing"` // state of the job on the wire, such as "done"
	Running int    `json:"running"`  // number of the job's tasks that run at present
	Done    int    `json:"done"`     // number of the job's tasks that have completed
	// RetryAfter is how long the response asks the user to wait before a retry. It is 0 if the response doesn't ask for a pause.
	RetryAfter time.Duration `json:"-"`
}

func newUserClient() *http.Client {
	return &http.Client{Timeout: userTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleUserConns}}
}

// request sends one request to one controller. The error wraps errNoDecision if the request may be retried.
func (f *Fleet) request(c *Controller, method, path string, body any) (JobStatus, error) {
	requestBody, err := json.Marshal(body)
	if err != nil {
		return JobStatus{}, err
	}
	request, err := http.NewRequest(method, "http://"+c.UsersAddr+path, bytes.NewReader(requestBody))
	if err != nil {
		return JobStatus{}, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return JobStatus{}, fmt.Errorf("%w: %w", errNoDecision, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	f.Traffic.add(userRequestKind(method, path), int64(len(requestBody)), int64(len(responseBody)))
	if err != nil {
		return JobStatus{}, fmt.Errorf("%w: %w", errNoDecision, err)
	}
	s := JobStatus{Code: response.StatusCode}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		s.RetryAfter = time.Duration(seconds) * time.Second
	}
	if s.Code >= http.StatusTooManyRequests {
		return s, fmt.Errorf("%w: %d %s", errNoDecision, s.Code, responseBody)
	}
	return s, json.Unmarshal(responseBody, &s)
}

// userRequestKind returns the kind under which a user's request is counted.
func userRequestKind(method, path string) MessageKind {
	switch {
	case method == http.MethodGet:
		return Polls
	case strings.HasSuffix(path, "/cancel"):
		return Cancels
	default:
		return Submissions
	}
}

// RequestWithRetry sends a request to the controllers in turn until one returns a result or the timeout has passed. A
// rejection such as status 404 is a result, but a response that asks for a retry is not.
func (f *Fleet) RequestWithRetry(method, path string, body any, timeout time.Duration) (JobStatus, error) {
	var s JobStatus
	err := errNoDecision
	first := int(f.nextController.Add(1))
	for deadline, i := time.Now().Add(timeout), first; time.Now().Before(deadline); i++ {
		if s, err = f.request(f.Controllers[i%len(f.Controllers)], method, path, body); !errors.Is(err, errNoDecision) {
			return s, err
		}
		time.Sleep(retryPause)
	}
	return s, err
}

// SubmitWithBackoff submits a job, with retries until a controller returns a result or the timeout has passed. A request
// without a result is a refusal. Before each retry, SubmitWithBackoff calls onRefusal. It then waits as long as the refusal
// asks for, but at least for a second, as the protocol requires of users.
func (f *Fleet) SubmitWithBackoff(j Job, timeout time.Duration, onRefusal func(JobStatus)) error {
	f.Workers.addJob(j)
	deadline := time.Now().Add(timeout)
	for i := int(f.nextController.Add(1)); ; i++ {
		s, err := f.request(f.Controllers[i%len(f.Controllers)], http.MethodPost, "/v1/jobs", j.submission())
		if err == nil {
			return f.recordAcceptance(j, s)
		}
		if !errors.Is(err, errNoDecision) || time.Now().After(deadline) {
			return err
		}
		onRefusal(s)
		time.Sleep(max(minRefusalPause, s.RetryAfter))
	}
}

// Submit submits a job, with retries until a controller returns a result or the timeout has passed. If j.Team
// is empty, the fleet's first team is used. If j.CPUs is 0, each task gets one CPU.
func (f *Fleet) Submit(j Job, timeout time.Duration) error {
	if j.Team == "" {
		j.Team = f.options.Teams[0].Name
	}
	if j.CPUs == 0 {
		j.CPUs = 1
	}
	f.Workers.addJob(j)
	s, err := f.RequestWithRetry(http.MethodPost, "/v1/jobs", j.submission(), timeout)
	if err != nil {
		return err
	}
	return f.recordAcceptance(j, s)
}

// recordAcceptance records the time at which a job was accepted. It returns an error if the response rejects the job.
func (f *Fleet) recordAcceptance(j Job, s JobStatus) error {
	if s.Code != http.StatusCreated && s.Code != http.StatusOK {
		return fmt.Errorf("submission of job %s: got status %d", j.ID, s.Code)
	}
	f.Workers.setAcceptedAt(j.ID, time.Now())
	return nil
}

// Cancel cancels a job, with retries until a controller returns a result or the timeout has passed.
func (f *Fleet) Cancel(id string, timeout time.Duration) (JobStatus, error) {
	s, err := f.RequestWithRetry(http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, timeout)
	if err == nil && s.State == "aborted" {
		f.Workers.setCancelledAt(id, time.Now())
	}
	return s, err
}

// Poll requests the state of a job, with retries for up to pollTimeout.
func (f *Fleet) Poll(id string) (JobStatus, error) {
	return f.RequestWithRetry(http.MethodGet, "/v1/jobs/"+id, nil, pollTimeout)
}
