package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
)

// A volunteer's line runs at an engine that answers empty; the repeat meets an
// engine that refuses, or none at all. The caller read "not run" though an
// engine had run it, since only the last attempt was looked at.
func TestNotRunIsSaidOfNoneThatRan(t *testing.T) {
	refused := engine.ErrRefused.New("full")
	tests := []struct {
		name   string
		errs   []error
		code   peridotpath.Code
		notRun bool
	}{
		{"failed, then refused", []error{engine.ErrFailed.New("reset"), refused}, peridotpath.CodeEndpointFailed, false},
		{"refused, then failed, then refused", []error{refused, engine.ErrFailed.New("reset"), refused}, peridotpath.CodeEndpointFailed, false},
		{"refused only", []error{refused, refused}, peridotpath.CodeEndpointRefused, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(call int, _ context.Context) (*engine.Answer, error) {
					return nil, test.errs[min(call, len(test.errs)-1)]
				}
				defer fixture.run(t)()
				work := request(true)
				work.Work.Profile.MaxAttempts = len(test.errs) + 1
				result := fixture.Do(t.Context(), work, (&received{}).sink())
				is.Equal(result.Code.NotRun(), test.notRun) // what the caller is told
				is.Equal(result.Code, test.code)
			})
		})
	}
}
