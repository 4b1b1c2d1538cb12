// Package fencing decides which fencing token the commands to each worker carry, and which ended attempts
// the worker must retain, that is, keep on record and list in its heartbeats.
//
// Direct commands are sent to a worker on their own, not in the response to a heartbeat. A worker carries
// out a direct command unless it has seen a higher token or begun a later incarnation. A worker begins its
// next incarnation each time its lease expires. Direct commands may be delayed by minutes and may be
// repeated. A worker must therefore retain an ended attempt while it may still carry out another copy of
// the command that started the attempt, because the copy would start the attempt again.
//
// To bound the number of retained attempts, a Fence raises the worker's token. Once a heartbeat of the
// worker contains the raised token, the worker no longer carries out commands with lower tokens.
// Attempts that only such commands could start need not be retained any more.
//
// Each leader has a range of tokens of its own. The transaction that acquires leadership also reserves
// this range, and the next leader's range begins above it. Raising a token within the range therefore
// needs no write.
//
// The package does no input or output.
package fencing

import "math"

// TokensPerTerm is the number of tokens in the range of one term of leadership. With one raise per
// worker lease of 20 s they last for two weeks. Once a worker has the last token, its attempts are
// started only by the responses to its heartbeats, because a worker never carries out commands in
// such a response late.
const TokensPerTerm = 1 << 16

// LastTerm is the highest number that a term may have. The attempt numbers of a term start at the
// term's number times 2^24, and must stay below 2^64.
const LastTerm = math.MaxUint64>>24 - TokensPerTerm

// Tokens is the range of tokens of one term, from First to Last inclusive.
type Tokens struct{ First, Last uint64 }

// TermTokens returns the tokens of the term with the given number.
func TermTokens(term uint64) Tokens { return Tokens{First: term, Last: term + TokensPerTerm - 1} }

// Contains reports whether a token belongs to the term.
func (t Tokens) Contains(token uint64) bool { return t.First <= token && token <= t.Last }
