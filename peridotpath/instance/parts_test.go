package instance

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/throttle"
)

// Each instance counts the requests of the others to a limited endpoint by sender.
// Instances that shared a sender name would not count each other's.
func TestSenderNameIsUniquePerInstance(t *testing.T) {
	is := is.New(t)
	one := New(&Settings{InstanceID: "edge-1"}, Adapter{
		Store: &keyvalue.Store{}, Eras: &keyvalue.EraTracker{}, Ingress: func(IngressDependencies) http.Handler { return http.NotFoundHandler() },
	}, zerolog.Nop())
	is.True(one.incarnation != 0)
	is.Equal(one.throttle.SenderID, throttle.SenderID("edge-1", one.incarnation))
	is.True(one.throttle.SenderID != throttle.SenderID("edge-2", one.incarnation))
}
