package coordination

import "time"

// The nodes exchange gob messages, over the peer links and through the state service,
// and other versions read and write them too. gob sends the names of types and fields,
// so those of the types in this file stay as they are, as do Answer, Report,
// TaskReport, TaskID, Order and UserRequest and what they hold; fields are only added.
// The rest of the package uses HeartbeatResponse and PeerStatus.

// BeatAnswer is a HeartbeatResponse as it is sent.
type BeatAnswer struct {
	Accepted  bool
	Token     uint64
	Orders    []Order
	Leader    string
	Busy      bool
	Undecided bool
}

// WireResponses returns the responses as they are sent; nil stays nil.
func WireResponses(responses []HeartbeatResponse) []BeatAnswer {
	if responses == nil {
		return nil
	}
	out := make([]BeatAnswer, len(responses))
	for i, r := range responses {
		out[i] = BeatAnswer(r)
	}
	return out
}

// ResponsesFromWire returns responses that were sent; nil stays nil.
func ResponsesFromWire(sent []BeatAnswer) []HeartbeatResponse {
	if sent == nil {
		return nil
	}
	out := make([]HeartbeatResponse, len(sent))
	for i, r := range sent {
		out[i] = HeartbeatResponse(r)
	}
	return out
}

// PeerState is a PeerStatus as it is sent.
type PeerState struct {
	Up         time.Duration
	SinceState time.Duration
	Leader     string
	Term       uint64
	Hears      time.Duration // SinceHeartbeat
	Alone      time.Duration // SinceDelegatedRenewal
	Lends      time.Duration // DelegatesFor
	LendTerm   uint64        // DelegationTerm
	Barred     []int         // Excluded
	Version    int
}

// Wire returns the status as it is sent.
func (s PeerStatus) Wire() PeerState {
	return PeerState{
		Up: s.Uptime, SinceState: s.SinceState, Leader: s.Leader, Term: s.Term,
		Hears: s.SinceHeartbeat, Alone: s.SinceDelegatedRenewal,
		Lends: s.DelegatesFor, LendTerm: s.DelegationTerm, Barred: s.Excluded, Version: s.Version,
	}
}

// Status returns a status that was sent.
func (p PeerState) Status() PeerStatus {
	return PeerStatus{
		Uptime: p.Up, SinceState: p.SinceState, Leader: p.Leader, Term: p.Term,
		SinceHeartbeat: p.Hears, SinceDelegatedRenewal: p.Alone,
		DelegatesFor: p.Lends, DelegationTerm: p.LendTerm, Excluded: p.Barred, Version: p.Version,
	}
}

// letter is one request or report of a relay batch.
type letter struct {
	User   *UserRequest
	Report *Report
}

// mailReply is the answer to one letter; Done tells that there is one.
type mailReply struct {
	Done bool
	User *Answer
	Beat *BeatAnswer
}
