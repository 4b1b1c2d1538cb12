package transport

import (
	"sagevale/internal/activation"
	wire "sagevale/internal/wire/coordination"
)

// The messages between controllers, in encoding/gob.
//
// The names of the types that are sent, and of their fields, never change, whatever the rest of the package
// calls the same things: gob sends them before the first message of a type, controllers of other versions
// match fields by name, and CI compares the encoded bytes with those of earlier versions. For the same reason
// a new kind of message is a type of its own rather than another field of an existing one: the bytes of the
// other kinds stay as they were. The receiver decodes all kinds into one type that has the fields of all.

// peerAsk is a request: a forwarded user request, a ping, or a batch of forwarded heartbeats.
type peerAsk struct {
	Serial  uint64
	Req     wire.UserRequest
	Reports []*wire.Report // if not nil, the request is a batch of heartbeats
}

// peerAnswer is the response to a peerAsk.
type peerAnswer struct {
	Serial uint64
	Answer wire.Answer
	Beats  []wire.BeatAnswer
}

// wakeAsk is a wake request. It is sent only to peers of version peer.VersionActivation or later.
type wakeAsk struct {
	Serial uint64
	Wake   *activation.WakeRequest
}

// wakeAnswer is the response to a wakeAsk.
type wakeAnswer struct {
	Serial uint64
	Wake   *activation.WakeResponse
}

// usageAsk is a usage report. It is sent only to peers of version peer.VersionActivation or later.
type usageAsk struct {
	Serial uint64
	Usage  *activation.UsageReport
}

// usageAnswer is the response to a usageAsk.
type usageAnswer struct {
	Serial uint64
	Usage  *activation.UsageResponse
}

// receivedRequest decodes a peerAsk, a wakeAsk or a usageAsk. It is never sent.
type receivedRequest struct {
	Serial  uint64
	Req     wire.UserRequest
	Reports []*wire.Report
	Wake    *activation.WakeRequest
	Usage   *activation.UsageReport
}

// receivedResponse decodes a peerAnswer, a wakeAnswer or a usageAnswer. It is never sent.
type receivedResponse struct {
	Serial uint64
	Answer wire.Answer
	Beats  []wire.BeatAnswer
	Wake   *activation.WakeResponse
	Usage  *activation.UsageResponse
}
