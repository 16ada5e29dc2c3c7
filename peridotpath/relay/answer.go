package relay

import (
	"context"
	"errors"

	"peridotpath.example/peridotpath/answerbuffer"
)

// readWhole reads a non-streamed answer to its end. It is read before the first byte is sent, so
// that the caller never takes a truncated answer for a complete one. The caller releases it.
func (relay *Relay) readWhole(ctx context.Context, answer *Answer) (*answerbuffer.Buffer, outcome, error) {
	buffer, err := relay.AnswerMemory.Read(ctx, answer.Header, answer.Body)
	switch {
	case errors.Is(err, answerbuffer.ErrTooLarge):
		return buffer, outcomeFailed, err
	case err != nil:
		return buffer, connectionOutcome(ctx), err
	}
	return buffer, outcomeDone, nil
}
