package session_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/faults"
)

func claimsDeskDeployment() *deployment {
	return &deployment{
		llm: "claims-llm", plain: "desk-app",
		instances:   []peridotpath.InstanceID{"colombo-a-1", "negombo-b-1"},
		dataCentres: []peridotpath.DataCentre{"colombo-a", "negombo-b"},
		config: &peridotpath.Config{
			Profiles: []peridotpath.Profile{
				{Name: "counter-lookup", Service: "claims-llm", Idempotent: true, Priority: 9, DeadlineMS: 15_000, MaxPromptTokens: 8_000, MaxAttempts: 3},
				{Name: "dossier", Service: "claims-llm", Idempotent: true, Priority: 2, DeadlineMS: 120_000, MaxAttempts: 3},
				{Name: "acknowledgement", Service: "desk-app", Priority: 9, DeadlineMS: 10_000},
			},
			Customers: []peridotpath.Customer{
				{ID: "lanka-airline", KeySHA256: peridotpath.HashKey("airline-key")},
				{ID: "counter", KeySHA256: peridotpath.HashKey("counter-key")},
			},
		},
	}
}

func acknowledgementRequest(instance peridotpath.InstanceID, name, key, body string) clientRequest {
	return clientRequest{
		instance: instance, name: name, method: "POST", path: "/services/acknowledgement/claims/acknowledge?channel=sms",
		key: "airline-key", body: body, header: map[string]string{"Idempotency-Key": key},
	}
}

func chatRequest(instance peridotpath.InstanceID, name, key, model, prompt string, output int, stream bool) clientRequest {
	return clientRequest{
		instance: instance, name: name, method: "POST", path: "/v1/chat/completions", key: key,
		body: fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, output, prompt),
	}
}

// A session of a claims desk: a batch of claims, one claim sent concurrently and
// again at another instance, an outage of the key-value service, and a service that
// dies while it runs a claim. Each claim must be acknowledged once or reported with an
// unknown outcome, and a short lookup must not wait behind a long prompt.
func TestClaimsDeskSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, claimsDeskDeployment())
		defer fleet.stop()
		session := fleet.transcript
		const colombo, negombo = "colombo-a-1", "negombo-b-1"

		session.appendTitle("a batch of claims, each acknowledged once")
		for i := 1; i <= 3; i++ {
			session.send(acknowledgementRequest(colombo, fmt.Sprintf("batch-%d", i), fmt.Sprintf("claim-%d", i), fmt.Sprintf(`{"claim":%d}`, i)))
		}

		session.appendTitle("a claim is sent twice concurrently, and again later at another instance")
		first := session.startRequest(acknowledgementRequest(colombo, "couple-1", "claim-couple", `{"claim":"couple"}`))
		time.Sleep(5 * time.Millisecond)
		second := session.startRequest(acknowledgementRequest(colombo, "couple-2", "claim-couple", `{"claim":"couple"}`))
		first()
		second()
		time.Sleep(time.Second)
		session.send(acknowledgementRequest(negombo, "couple-3", "claim-couple", `{"claim":"couple"}`))

		session.appendTitle("a key is reused with another body")
		session.send(acknowledgementRequest(negombo, "reused", "claim-couple", `{"claim":"somebody else's"}`))

		session.appendTitle("the key-value service is down: nothing runs, and the caller gets a not-run failure")
		fleet.outage.Store(true)
		session.send(acknowledgementRequest(colombo, "outage-1", "claim-outage", `{"claim":"outage"}`))
		fleet.outage.Store(false)
		time.Sleep(5 * time.Second)
		session.send(acknowledgementRequest(colombo, "outage-2", "claim-outage", `{"claim":"outage"}`))

		session.appendTitle("the desk's service dies while it runs a claim")
		for i := range fleet.services {
			fleet.services[i].Faults.Set(faults.Fault{Kind: faults.CloseUnanswered, Count: 1})
		}
		session.send(acknowledgementRequest(colombo, "death-1", "claim-death", `{"claim":"death"}`))
		time.Sleep(time.Second)
		session.send(acknowledgementRequest(negombo, "death-2", "claim-death", `{"claim":"death"}`))

		session.appendTitle("a dossier of 120,000 tokens with a counter lookup behind it")
		dossier := strings.Repeat("receipt and photograph. ", 120_000*4/24)
		awaitDossier := session.startRequest(chatRequest(colombo, "dossier", "airline-key", "dossier", dossier, 3, false))
		time.Sleep(103 * time.Millisecond) // not at an iteration of the engine
		session.send(chatRequest(negombo, "lookup", "counter-key", "counter-lookup", strings.Repeat("tag LK 4711? ", 400), 4, true))
		awaitDossier()

		time.Sleep(time.Minute)
		session.finish("claims_desk")
	})
}
