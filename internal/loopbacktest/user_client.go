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
	// userTimeout bounds one request of a user.
	userTimeout = 3 * time.Second
	// retryPause is the pause between two requests of Insist.
	retryPause = 50 * time.Millisecond
	// minRefusalPause is the least pause of a user whose submission was refused, by the protocol.
	minRefusalPause = time.Second
	// pollTimeout bounds the retries of a poll.
	pollTimeout = 20 * time.Second
)

// errNoDecision says that a controller could not decide a request for now, or that its decision is not known.
var errNoDecision = errors.New("undecided")

// JobStatus is the response to a user's request: the state of a job, if the request was decided.
type JobStatus struct {
	Code    int    `json:"Status"`   // of HTTP
	State   string `json:"Standing"` // state of the job on the wire, such as "done"
	Running int    `json:"running"`  // number of tasks
	Done    int    `json:"done"`     // number of tasks
	// RetryAfter is the pause that a refusal asks for; 0: none.
	RetryAfter time.Duration `json:"-"`
}

func newUserClient() *http.Client {
	return &http.Client{Timeout: userTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleUserConns}}
}

// request sends one request to one controller. It returns errNoDecision if it may be retried.
func (f *Fleet) request(c *Controller, method, path string, body any) (JobStatus, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return JobStatus{}, err
	}
	request, err := http.NewRequest(method, "http://"+c.UsersAddr+path, bytes.NewReader(raw))
	if err != nil {
		return JobStatus{}, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return JobStatus{}, fmt.Errorf("%w: %w", errNoDecision, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	f.Traffic.add(userRequestKind(method, path), int64(len(raw)), int64(len(answer)))
	if err != nil {
		return JobStatus{}, fmt.Errorf("%w: %w", errNoDecision, err)
	}
	s := JobStatus{Code: response.StatusCode}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		s.RetryAfter = time.Duration(seconds) * time.Second
	}
	if s.Code >= http.StatusTooManyRequests {
		return s, fmt.Errorf("%w: %d %s", errNoDecision, s.Code, answer)
	}
	return s, json.Unmarshal(answer, &s)
}

// userRequestKind returns the kind of message of a user's request.
func userRequestKind(method, path string) Kind {
	switch {
	case method == http.MethodGet:
		return Polls
	case strings.HasSuffix(path, "/cancel"):
		return Cancels
	default:
		return Submissions
	}
}

// RequestWithRetry sends a request to the controllers in turn until one decides it, or the time is over.
func (f *Fleet) RequestWithRetry(method, path string, body any, within time.Duration) (JobStatus, error) {
	var s JobStatus
	err := errNoDecision
	first := int(f.nextController.Add(1))
	for end, i := time.Now().Add(within), first; time.Now().Before(end); i++ {
		if s, err = f.request(f.Controllers[i%len(f.Controllers)], method, path, body); !errors.Is(err, errNoDecision) {
			return s, err
		}
		time.Sleep(retryPause)
	}
	return s, err
}

// SubmitWithBackoff submits a job as the protocol requires of users: after a refusal they wait for a second, or as
// long as the refusal asks for if that is longer. refused is called for each refusal.
func (f *Fleet) SubmitWithBackoff(j Job, within time.Duration, refused func(JobStatus)) error {
	f.Workers.addJob(j)
	end := time.Now().Add(within)
	for i := int(f.nextController.Add(1)); ; i++ {
		s, err := f.request(f.Controllers[i%len(f.Controllers)], http.MethodPost, "/v1/jobs", j.submission())
		if err == nil {
			return f.submitted(j, s)
		}
		if !errors.Is(err, errNoDecision) || time.Now().After(end) {
			return err
		}
		refused(s)
		time.Sleep(max(minRefusalPause, s.RetryAfter))
	}
}

// Submit submits a job, with retries until it is accepted or the time is over.
func (f *Fleet) Submit(j Job, within time.Duration) error {
	if j.Team == "" {
		j.Team = f.options.Teams[0].Name
	}
	if j.CPUs == 0 {
		j.CPUs = 1
	}
	f.Workers.addJob(j)
	s, err := f.RequestWithRetry(http.MethodPost, "/v1/jobs", j.submission(), within)
	if err != nil {
		return err
	}
	return f.submitted(j, s)
}

// submitted records the acceptance of a job. It returns an error if the decision is another one.
func (f *Fleet) submitted(j Job, s JobStatus) error {
	if s.Code != http.StatusCreated && s.Code != http.StatusOK {
		return fmt.Errorf("job %s is answered %d", j.ID, s.Code)
	}
	f.Workers.jobAccepted(j.ID, time.Now())
	return nil
}

// Cancel cancels a job, with retries until that is decided or the time is over.
func (f *Fleet) Cancel(id string, within time.Duration) (JobStatus, error) {
	s, err := f.RequestWithRetry(http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, within)
	if err == nil && s.State == "aborted" {
		f.Workers.jobCancelled(id, time.Now())
	}
	return s, err
}

// Poll requests the state of a job, with retries for up to 20 s.
func (f *Fleet) Poll(id string) (JobStatus, error) {
	return f.RequestWithRetry(http.MethodGet, "/v1/jobs/"+id, nil, pollTimeout)
}
