package coordination

import (
	"encoding/gob"
	"io"

	"sagevale/internal/api"
	"sagevale/internal/worker"
)

// RelayRequest is one request of a relayed batch: either a user's, or a worker's heartbeat.
type RelayRequest struct {
	User   *api.Request
	Report *worker.Report
}

// RelayResponse is the answer to a RelayRequest. Answered tells whether there is one; then the field
// that corresponds to the request is set.
type RelayResponse struct {
	Answered  bool
	User      *api.Response
	Heartbeat *worker.HeartbeatResponse
}

// EncodeRelayRequests writes a batch of requests.
func EncodeRelayRequests(w io.Writer, requests []RelayRequest) error {
	letters := make([]letter, len(requests))
	for i, r := range requests {
		if r.User != nil {
			user := FromRequest(r.User)
			letters[i].User = &user
		}
		if r.Report != nil {
			report := fromReport(r.Report)
			letters[i].Report = &report
		}
	}
	return gob.NewEncoder(w).Encode(letters)
}

// DecodeRelayRequests reads a batch of requests.
func DecodeRelayRequests(r io.Reader) ([]RelayRequest, error) {
	var letters []letter
	if err := gob.NewDecoder(r).Decode(&letters); err != nil {
		return nil, err
	}
	requests := make([]RelayRequest, len(letters))
	for i, l := range letters {
		if l.User != nil {
			user := l.User.Request()
			requests[i].User = &user
		}
		if l.Report != nil {
			report := l.Report.report()
			requests[i].Report = &report
		}
	}
	return requests, nil
}

// EncodeRelayResponses writes the answers to a batch.
func EncodeRelayResponses(w io.Writer, responses []RelayResponse) error {
	replies := make([]mailReply, len(responses))
	for i, r := range responses {
		replies[i].Done = r.Answered
		if r.User != nil {
			user := FromResponse(r.User)
			replies[i].User = &user
		}
		if r.Heartbeat != nil {
			beat := fromHeartbeatResponse(r.Heartbeat)
			replies[i].Beat = &beat
		}
	}
	return gob.NewEncoder(w).Encode(replies)
}

// DecodeRelayResponses reads the answers to a batch.
func DecodeRelayResponses(r io.Reader) ([]RelayResponse, error) {
	var replies []mailReply
	if err := gob.NewDecoder(r).Decode(&replies); err != nil {
		return nil, err
	}
	responses := make([]RelayResponse, len(replies))
	for i, reply := range replies {
		responses[i].Answered = reply.Done
		if reply.User != nil {
			user := reply.User.Response()
			responses[i].User = &user
		}
		if reply.Beat != nil {
			heartbeat := reply.Beat.response()
			responses[i].Heartbeat = &heartbeat
		}
	}
	return responses, nil
}
