package activator

import (
	"time"

	"sagevale/internal/activation"
)

// message is a message in a Tracker's mailbox: a *request or one of the types below.
type message interface{ isMessage() }

// request is a client's request for a model.
type request struct {
	model    string
	deadline time.Time // end of the time for which the request may be held
	reply    chan Decision
	held     bool // the request was held; it counts in Tracker.heldCount until it is decided
	decided  bool // the decision was sent to reply, or the client has disconnected
}

// canceledMsg reports that a request's client has disconnected.
type canceledMsg struct{ request *request }

// releasedMsg reports that a granted request has finished.
type releasedMsg struct{ model string }

// wakeResponseMsg holds a wake request and the leader's response to this request.
type wakeResponseMsg struct {
	model    string
	sentAt   time.Time
	request  activation.WakeRequest
	response activation.WakeResponse
}

// usageResponseMsg is the leader's response to a usage report.
type usageResponseMsg struct{ response activation.UsageResponse }

func (*request) isMessage()         {}
func (canceledMsg) isMessage()      {}
func (releasedMsg) isMessage()      {}
func (wakeResponseMsg) isMessage()  {}
func (usageResponseMsg) isMessage() {}
