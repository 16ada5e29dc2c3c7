// Package shortprompts replays loads of short prompts on the relay: beyond the slots, at many
// instances and after a restart of all, with fake engines and in virtual time.
package shortprompts
