package transport

import (
	"sagevale/internal/activation"
	wire "sagevale/internal/wire/coordination"
)

// Controllers send each other the messages in this file, encoded with encoding/gob.
//
// The names of the types that are sent, and of their fields, must never change, even where the rest of the package uses
// other names. gob sends these names before the first message of a type, controllers of other versions match fields by
// name, and CI compares the encoded bytes with those of earlier versions. A new kind of message must get a type of its
// own rather than a field in an existing type, so that the encoded bytes of the other kinds don't change. The receiver
// decodes every kind of request into receivedRequest and every kind of response into receivedResponse, which have the
// fields of all kinds.
//
// Every message has a field Serial, the serial number of a request. The response to a request has the Serial of the request.

// peerAsk is a forwarded user request, a ping, or a batch of forwarded heartbeats.
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

// wakeAsk carries a wake request, which reports to the leader that a controller holds requests for a model that isn't ready
// yet. It is sent only to peers of version peer.VersionActivation or later.
type wakeAsk struct {
	Serial uint64
	Wake   *activation.WakeRequest
}

// wakeAnswer is the response to a wakeAsk.
type wakeAnswer struct {
	Serial uint64
	Wake   *activation.WakeResponse
}

// usageAsk carries a usage report, which reports to the leader the models for which a controller has had requests. It is
// sent only to peers of version peer.VersionActivation or later.
type usageAsk struct {
	Serial uint64
	Usage  *activation.UsageReport
}

// usageAnswer is the response to a usageAsk.
type usageAnswer struct {
	Serial uint64
	Usage  *activation.UsageResponse
}

// receivedRequest is the type into which a received peerAsk, wakeAsk or usageAsk is decoded. It is never sent.
type receivedRequest struct {
	Serial  uint64
	Req     wire.UserRequest
	Reports []*wire.Report
	Wake    *activation.WakeRequest
	Usage   *activation.UsageReport
}

// receivedResponse is the type into which a received peerAnswer, wakeAnswer or usageAnswer is decoded. It is never
// sent.
type receivedResponse struct {
	Serial uint64
	Answer wire.Answer
	Beats  []wire.BeatAnswer
	Wake   *activation.WakeResponse
	Usage  *activation.UsageResponse
}
