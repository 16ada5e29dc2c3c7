package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
)

// The first attempt runs at an engine and fails; the retry is refused or finds no
// endpoint. If only the last attempt determined the result, the caller would get
// "not run" for a request that an engine ran.
func TestNotRunOnlyIfNoAttemptRan(t *testing.T) {
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
				defer fixture.start(t)()
				work := request(true)
				work.Work.Profile.MaxAttempts = len(test.errs) + 1
				result := fixture.Do(t.Context(), work, (&received{}).sink())
				is.Equal(result.Code.NotRun(), test.notRun) // the result that the caller gets
				is.Equal(result.Code, test.code)
			})
		})
	}
}
