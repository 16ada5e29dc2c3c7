package peridotpath_test

import (
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

func TestRequestKind(t *testing.T) {
	for _, test := range []struct {
		name  string
		route peridotpath.Route
		want  peridotpath.RequestKind
	}{
		{"stream", peridotpath.Route{Streaming: true, Resumable: true}, peridotpath.KindStream},
		{"stream that is restarted", peridotpath.Route{Streaming: true, Idempotent: true}, peridotpath.KindStream},
		{"stream that cannot be resumed", peridotpath.Route{Streaming: true}, peridotpath.KindOnce},
		{"lookup", peridotpath.Route{Idempotent: true}, peridotpath.KindRepeatable},
		{"payment", peridotpath.Route{}, peridotpath.KindOnce},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.route.Kind(), test.want)
			is.True(test.want.String() != "unknown")
		})
	}
	is.New(t).Equal(peridotpath.RequestKinds.String(), "unknown")
}
