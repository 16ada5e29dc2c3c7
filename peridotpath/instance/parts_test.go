package instance

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/throttle"
)

// Each instance counts the requests of the others to a limited endpoint by sender ID.
// Instances that shared an ID would not count each other's requests.
func TestSenderIDIsUniquePerInstance(t *testing.T) {
	is := is.New(t)
	instance := New(&Settings{InstanceID: "edge-1"}, Adapter{
		Store: &keyvalue.Store{}, Eras: &keyvalue.EraTracker{}, Ingress: func(IngressDependencies) http.Handler { return http.NotFoundHandler() },
	}, zerolog.Nop())
	is.True(instance.incarnation != 0)
	is.Equal(instance.throttle.SenderID, throttle.SenderID("edge-1", instance.incarnation))
	is.True(instance.throttle.SenderID != throttle.SenderID("edge-2", instance.incarnation))
}
