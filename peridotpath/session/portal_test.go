package session_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/faults"
)

func portal() *deployment {
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

// An evening at the portal. A volunteer reads lines while streams break off, an
// answer comes back empty and an instance dies under a reading; a scholar has a
// folio drafted; a correction is saved once though it is sent again.
func TestPortalEvening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, portal())
		defer fleet.close()
		session := fleet.transcript
		const kolkata, dhaka = "kolkata-hall-1", "dhaka-road-hall-1"
		line := func(instance peridotpath.InstanceID, name string) ask {
			return chat(instance, name, "volunteers-key", "lipi-line", "Leaf 12, "+name+": "+strings.Repeat("patra ", 800), 6, true)
		}

		session.title("what the portal may name as model")
		session.send(ask{instance: kolkata, name: "models", method: "GET", path: "/v1/models", key: "volunteers-key"})

		session.title("a line reading")
		session.send(line(kolkata, "line-1"))

		session.title("the engine's connection breaks in the middle of a line: the reading goes on")
		fleet.engine.Faults.Set(faults.Fault{Kind: faults.CutResumable, Count: 1})
		session.send(line(kolkata, "line-2"))

		session.title("the engine answers empty: the line is read again")
		fleet.engine.Faults.Set(faults.Fault{Kind: faults.Empty, Count: 1})
		session.send(line(kolkata, "line-3"))

		session.title("a folio for a scholar, whole")
		session.send(chat(dhaka, "folio-1", "scholars-key", "folio", strings.Repeat("talapatra ", 20_000*4/10), 5, false))

		session.title("a page image from a replica that is gone, fetched from the other")
		fleet.network.Serve(serviceAddress1, nil)
		session.send(ask{instance: dhaka, name: "image-1", method: "GET", path: "/services/page-image/images/12.png", key: "volunteers-key"})
		session.send(ask{instance: dhaka, name: "image-2", method: "GET", path: "/services/page-image/images/13.png", key: "volunteers-key"})
		fleet.network.Serve(serviceAddress1, fleet.services[0].Handler())

		session.title("a correction is saved, and sent again because the answer was slow to show")
		correction := ask{
			instance: kolkata, name: "correction-1", method: "PUT", path: "/services/correction/leaves/12/lines/3", key: "volunteers-key",
			body: "পাতা ১২, ছত্র ৩", header: map[string]string{"Idempotency-Key": "leaf-12-line-3"},
		}
		session.send(correction)
		correction.name = "correction-2"
		session.send(correction)
		time.Sleep(time.Second)
		correction.name, correction.instance = "correction-3", dhaka
		session.send(correction)

		session.title("mistakes of a new portal")
		wrong := line(kolkata, "no-model")
		wrong.body = strings.Replace(wrong.body, "lipi-line", "lipi", 1)
		session.send(wrong)
		wrong = line(kolkata, "no-key")
		wrong.key = "nobody's"
		session.send(wrong)
		session.send(chat(kolkata, "too-long", "volunteers-key", "line", strings.Repeat("patra ", 8_000), 6, true))
		session.send(ask{instance: kolkata, name: "not-json", method: "POST", path: "/v1/completions", key: "volunteers-key", body: `{"model":"line","prompt":"half`})

		session.title("the instance dies under a reading, which goes on at the other")
		reading := line(kolkata, "line-4")
		time.AfterFunc(92*time.Millisecond, func() { fleet.kill(kolkata) })
		last := session.send(reading)
		reading.instance, reading.header = dhaka, map[string]string{"Last-Event-ID": last}
		session.send(reading)

		time.Sleep(time.Minute)
		session.finish("portal_evening")
	})
}
