package session_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/faults"
)

func portalDeployment() *deployment {
	return &deployment{
		llm: "lipi-model", plain: "seva-portal",
		instances:   []peridotpath.InstanceID{"kolkata-hall-1", "dhaka-road-hall-1"},
		dataCentres: []peridotpath.DataCentre{"kolkata-hall", "dhaka-road-hall"},
		config: &peridotpath.Config{
			Profiles: []peridotpath.Profile{
				{Name: "line", Service: "lipi-model", Aliases: []string{"lipi-line"}, Idempotent: true, Priority: 9, DeadlineMS: 10_000, MaxPromptTokens: 8_000, MaxAttempts: 3},
				{Name: "folio", Service: "lipi-model", Idempotent: true, Priority: 4, DeadlineMS: 120_000, MaxAttempts: 3},
				{Name: "correction", Service: "seva-portal", Priority: 9, DeadlineMS: 10_000},
				{Name: "page-image", Service: "seva-portal", Idempotent: true, DeadlineMS: 10_000, MaxAttempts: 3},
			},
			Customers: []peridotpath.Customer{
				{ID: "volunteers", KeySHA256: peridotpath.HashKey("volunteers-key")},
				{ID: "scholars", KeySHA256: peridotpath.HashKey("scholars-key")},
			},
		},
	}
}

// A session of a transcription portal: streams that are interrupted, an empty
// answer, an instance that dies in the middle of a stream, a long prompt answered
// without a stream, and a correction that is sent repeatedly and must run once.
func TestPortalSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, portalDeployment())
		defer fleet.stop()
		session := fleet.transcript
		const kolkata, dhaka = "kolkata-hall-1", "dhaka-road-hall-1"
		line := func(instance peridotpath.InstanceID, name string) clientRequest {
			return chatRequest(instance, name, "volunteers-key", "lipi-line", "Leaf 12, "+name+": "+strings.Repeat("patra ", 800), 6, true)
		}

		session.appendTitle("the model names that the portal may use")
		session.send(clientRequest{instance: kolkata, name: "models", method: "GET", path: "/v1/models", key: "volunteers-key"})

		session.appendTitle("a streamed answer")
		session.send(line(kolkata, "line-1"))

		session.appendTitle("the engine's connection breaks in the middle of a stream, which is resumed")
		fleet.engine.Faults.Set(faults.Fault{Kind: faults.CutResumable, Count: 1})
		session.send(line(kolkata, "line-2"))

		session.appendTitle("the engine answers empty, and the request is retried")
		fleet.engine.Faults.Set(faults.Fault{Kind: faults.Empty, Count: 1})
		session.send(line(kolkata, "line-3"))

		session.appendTitle("a folio, answered without a stream")
		session.send(chatRequest(dhaka, "folio-1", "scholars-key", "folio", strings.Repeat("talapatra ", 20_000*4/10), 5, false))

		session.appendTitle("page images while one replica is unreachable: the other serves them")
		fleet.network.Serve(serviceAddress1, nil)
		session.send(clientRequest{instance: dhaka, name: "image-1", method: "GET", path: "/services/page-image/images/12.png", key: "volunteers-key"})
		session.send(clientRequest{instance: dhaka, name: "image-2", method: "GET", path: "/services/page-image/images/13.png", key: "volunteers-key"})
		fleet.network.Serve(serviceAddress1, fleet.services[0].Handler())

		session.appendTitle("a correction is saved, and sent again with the same key")
		correction := clientRequest{
			instance: kolkata, name: "correction-1", method: "PUT", path: "/services/correction/leaves/12/lines/3", key: "volunteers-key",
			body: "পাতা ১২, ছত্র ৩", header: map[string]string{"Idempotency-Key": "leaf-12-line-3"},
		}
		session.send(correction)
		correction.name = "correction-2"
		session.send(correction)
		time.Sleep(time.Second)
		correction.name, correction.instance = "correction-3", dhaka
		session.send(correction)

		session.appendTitle("invalid requests")
		invalid := line(kolkata, "no-model")
		invalid.body = strings.Replace(invalid.body, "lipi-line", "lipi", 1)
		session.send(invalid)
		invalid = line(kolkata, "no-key")
		invalid.key = "nobody's"
		session.send(invalid)
		session.send(chatRequest(kolkata, "too-long", "volunteers-key", "line", strings.Repeat("patra ", 8_000), 6, true))
		session.send(clientRequest{instance: kolkata, name: "not-json", method: "POST", path: "/v1/completions", key: "volunteers-key", body: `{"model":"line","prompt":"half`})

		session.appendTitle("the instance dies in the middle of a stream, which is resumed at the other")
		interrupted := line(kolkata, "line-4")
		time.AfterFunc(92*time.Millisecond, func() { fleet.kill(kolkata) })
		last := session.send(interrupted)
		interrupted.instance, interrupted.header = dhaka, map[string]string{"Last-Event-ID": last}
		session.send(interrupted)

		time.Sleep(time.Minute)
		session.finish("portal_evening")
	})
}
