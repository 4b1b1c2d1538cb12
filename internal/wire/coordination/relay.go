package coordination

import (
	"encoding/gob"
	"io"

	"sagevale/internal/api"
	"sagevale/internal/worker"
)

// RelayRequest is one request in a batch that a controller sends to the leader through the key-value store. It holds
// either a user's request or the report in a worker's heartbeat. The other field is nil.
type RelayRequest struct {
	User   *api.Request
	Report *worker.Report
}

// RelayResponse is the response to a RelayRequest. If Answered is false, no response has arrived. If Answered is true, User
// is set for a user's request, and Heartbeat for a worker's heartbeat.
type RelayResponse struct {
	Answered  bool
	User      *api.Response
	Heartbeat *worker.HeartbeatResponse
}

// EncodeRelayRequests writes a batch of requests to w in their wire form.
func EncodeRelayRequests(w io.Writer, requests []RelayRequest) error {
	messages := make([]letter, len(requests))
	for i, r := range requests {
		if r.User != nil {
			user := FromRequest(r.User)
			messages[i].User = &user
		}
		if r.Report != nil {
			report := fromReport(r.Report)
			messages[i].Report = &report
		}
	}
	return gob.NewEncoder(w).Encode(messages)
}

// DecodeRelayRequests reads a batch of requests from r.
func DecodeRelayRequests(r io.Reader) ([]RelayRequest, error) {
	var messages []letter
	if err := gob.NewDecoder(r).Decode(&messages); err != nil {
		return nil, err
	}
	requests := make([]RelayRequest, len(messages))
	for i, message := range messages {
		if message.User != nil {
			user := message.User.Request()
			requests[i].User = &user
		}
		if message.Report != nil {
			report := message.Report.report()
			requests[i].Report = &report
		}
	}
	return requests, nil
}

// EncodeRelayResponses writes the responses to one batch of requests, in their wire form, to w.
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

// DecodeRelayResponses reads the responses to one batch of requests from r.
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
