// Package replayguard decides whether a message whose signature has been verified is new, a retry by its client, or
// a replay. It does no input or output and reads no clock: the time of day comes in with each call, and the one
// value that must be durable, the watermark, goes out to the caller, who stores it.
//
// # Why a message cannot run twice
//
// A message carries an id and a timestamp, and the signature covers both. The guard accepts a message only if its
// timestamp lies in (clock - MaxAge, clock + MaxClockSkew), where clock is the latest time of day ever seen: setting
// the machine's clock back does not make old messages acceptable again. Every accepted message is remembered until
// its timestamp is older than that range, so a replay within the range is found in memory.
//
// A restart loses the memory; the watermark replaces it. No message with a timestamp above the watermark on disk is
// accepted, so after a restart every message that an earlier process accepted has a timestamp at or below the
// watermark, and all such messages are rejected as Unsettled.
//
// The watermark is written ahead of the clock in steps of WatermarkStep, not once a call. After a clean stop it is
// the highest timestamp accepted, and costs nothing. After a crash, calls are rejected for at most
// MaxClockSkew + WatermarkStep, and each rejection says when to retry. The alternative, a journal of ids, would
// need a synchronous write before each call.
//
// Controllers share nothing, so a message that is replayed to a second controller is not found in its memory. Its
// signature must not verify there: each endpoint has a secret of its own (package webhook derives them from a
// common one).
package replayguard
