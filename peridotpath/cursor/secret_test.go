package cursor_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// The store is restored from a copy that was made before the secret existed. An instance
// that starts afterwards must not create another secret, which would invalidate the cursors
// that callers hold.
func TestSecretLostInARestoreIsWrittenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := &memory.Memory{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 2)
		run := func(signer *cursor.Signer) {
			go func() { ended <- signer.Run(ctx, service.Store()) }()
		}
		first, second := &cursor.Signer{}, &cursor.Signer{}
		before := service.Snapshot()
		run(first)
		synctest.Wait()
		text := string(cursor.Append(nil, first.StreamToken("volunteers", stream), 7))
		service.Restore(before)
		first.MarkStoreRestored()
		time.Sleep(3 * time.Second)
		run(second)
		synctest.Wait()
		_, _, err := second.Verify("volunteers", text)
		is.NoErr(err)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
		is.True(errors.Is(<-ended, context.Canceled))
	})
}
