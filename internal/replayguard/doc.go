// Package replayguard decides whether a message with a verified signature is new, a retry by its
// client or a replay. It performs no I/O and reads no clock: the caller passes the time of day with
// each call, and stores the watermark, the only value that must be durable.
//
// # Why a message cannot be executed twice
//
// A message carries an id and a timestamp, and the signature covers both. The guard accepts a
// message only if its timestamp lies in (clock - MaxAge, clock + MaxClockSkew), where clock is the
// latest time of day seen so far, so setting the machine's clock back does not make old messages
// acceptable again. The guard remembers every accepted message until its timestamp is older than
// that range, so it detects a replay within the range in memory.
//
// A restart loses this memory, and the watermark replaces it. No message with a timestamp above the
// watermark on disk is accepted. After a restart, every message that an earlier process accepted
// therefore has a timestamp at or below the watermark, and all such messages are rejected as
// PossibleReplay.
//
// The watermark is written ahead of the clock in steps of WatermarkStep, not once per call. After a
// clean stop it is the highest accepted timestamp, so messages with a later timestamp are accepted
// at once. After a crash, calls are rejected for at most MaxClockSkew + WatermarkStep, and each
// rejection says when to retry. The alternative, a journal of ids, would need a synchronous write
// before each call.
//
// Controllers share no state, so a controller cannot detect the replay of a message that another
// one accepted. The signature of such a message must not verify there: each webhook endpoint has
// its own secret, which package webhook derives from a common one.
package replayguard
