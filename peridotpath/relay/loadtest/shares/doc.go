// Package shares replays floods of one customer beside others on the relay, with fake engines and in
// virtual time.
package shares
