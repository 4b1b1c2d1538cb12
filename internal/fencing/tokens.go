// Package fencing decides under which fencing token each worker is commanded, and which ended
// attempts the worker must retain.
//
// A worker carries out a direct command unless it has seen a higher token or begun a later
// incarnation. Commands may be delayed by minutes and may be repeated. An attempt that was started by
// one must therefore be retained while a copy of that command could still be carried out, because
// the copy would start the attempt again. To end this a fence raises the worker's token: once a
// newer heartbeat of the worker shows the raised token, commands under earlier tokens can't be
// carried out, and the attempts that only those could start need not be retained.
//
// Each leader has a range of tokens of its own, reserved by the transaction in which it acquires
// leadership, and the next leader's range begins above it. Raising a token within the range
// therefore needs no write.
//
// The package does no input or output.
package fencing

import "math"

// TokensPerTerm is the number of tokens in the range of one term of leadership. At one raise in each
// worker lease of 20 s it lasts for two weeks. After that a worker's attempts are started only by
// the responses to its heartbeats, which are never carried out late.
const TokensPerTerm = 1 << 16

// LastTerm is the highest number that a term may have. Attempt numbers are the term's number times
// 2^24 and more, and must stay below 2^64.
const LastTerm = math.MaxUint64>>24 - TokensPerTerm

// Tokens is the range of tokens of one term, from First to Last inclusive.
type Tokens struct{ First, Last uint64 }

// TermTokens returns the tokens of the term with that number.
func TermTokens(term uint64) Tokens { return Tokens{First: term, Last: term + TokensPerTerm - 1} }

// Contains reports whether a token belongs to the term.
func (t Tokens) Contains(token uint64) bool { return t.First <= token && token <= t.Last }
