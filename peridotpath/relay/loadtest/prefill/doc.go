// Package prefill replays loads of long prompts on the relay: bursts, overload, slow engines and
// callers that return, with fake engines and in virtual time.
package prefill
