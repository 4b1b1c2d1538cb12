package activator

import (
	"time"

	"sagevale/internal/activation"
)

// message is what the mailbox of a Tracker receives: a *request or one of the types below.
type message interface{ isMessage() }

// request is a client's request for a model.
type request struct {
	model    string
	deadline time.Time // until when it may be held
	reply    chan Decision
	held     bool
	decided  bool // or canceled
}

// canceledMsg says that a request's client has disconnected.
type canceledMsg struct{ request *request }

// releasedMsg says that a granted request is finished.
type releasedMsg struct{ model string }

// wakeResponseMsg is the response to a wake request.
type wakeResponseMsg struct {
	model    string
	sentAt   time.Time
	request  activation.WakeRequest
	response activation.WakeResponse
}

// usageResponseMsg is the response to a usage report.
type usageResponseMsg struct{ response activation.UsageResponse }

func (*request) isMessage()         {}
func (canceledMsg) isMessage()      {}
func (releasedMsg) isMessage()      {}
func (wakeResponseMsg) isMessage()  {}
func (usageResponseMsg) isMessage() {}
