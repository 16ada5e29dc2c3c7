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

func claimsDesk() *deployment {
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

func acknowledgement(instance peridotpath.InstanceID, name, key, body string) ask {
	return ask{
		instance: instance, name: name, method: "POST", path: "/services/acknowledgement/claims/acknowledge?channel=sms",
		key: "airline-key", body: body, header: map[string]string{"Idempotency-Key": key},
	}
}

func chat(instance peridotpath.InstanceID, name, key, model, prompt string, output int, stream bool) ask {
	return ask{
		instance: instance, name: name, method: "POST", path: "/v1/chat/completions", key: key,
		body: fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, output, prompt),
	}
}

// A flight is diverted and its airline files a batch of claims. A couple's desk
// presses the button twice and again elsewhere; the platform has an outage; the
// desk's service dies with a claim in its hands. Each claim is acknowledged
// once or said to be unknown, and counter lookups pass a heavy dossier by.
func TestClaimsDeskDiversion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, claimsDesk())
		defer fleet.close()
		session := fleet.transcript
		const colombo, negombo = "colombo-a-1", "negombo-b-1"

		session.title("a batch of claims, each acknowledged once")
		for i := 1; i <= 3; i++ {
			session.send(acknowledgement(colombo, fmt.Sprintf("batch-%d", i), fmt.Sprintf("claim-%d", i), fmt.Sprintf(`{"claim":%d}`, i)))
		}

		session.title("the honeymoon couple's claim is sent twice at once, and again later elsewhere")
		first := session.begin(acknowledgement(colombo, "couple-1", "claim-couple", `{"claim":"couple"}`))
		time.Sleep(5 * time.Millisecond)
		second := session.begin(acknowledgement(colombo, "couple-2", "claim-couple", `{"claim":"couple"}`))
		first()
		second()
		time.Sleep(time.Second)
		session.send(acknowledgement(negombo, "couple-3", "claim-couple", `{"claim":"couple"}`))

		session.title("a key comes with another body")
		session.send(acknowledgement(negombo, "reused", "claim-couple", `{"claim":"somebody else's"}`))

		session.title("the key-value service is down: nothing runs, and the caller is told so")
		fleet.outage.Store(true)
		session.send(acknowledgement(colombo, "outage-1", "claim-outage", `{"claim":"outage"}`))
		fleet.outage.Store(false)
		time.Sleep(5 * time.Second)
		session.send(acknowledgement(colombo, "outage-2", "claim-outage", `{"claim":"outage"}`))

		session.title("the desk's service dies with a claim in its hands")
		for i := range fleet.services {
			fleet.services[i].Faults.Set(faults.Fault{Kind: faults.CloseUnanswered, Count: 1})
		}
		session.send(acknowledgement(colombo, "death-1", "claim-death", `{"claim":"death"}`))
		time.Sleep(time.Second)
		session.send(acknowledgement(negombo, "death-2", "claim-death", `{"claim":"death"}`))

		session.title("a dossier of 120,000 tokens with a counter lookup behind it")
		dossier := strings.Repeat("receipt and photograph. ", 120_000*4/24)
		heavy := session.begin(chat(colombo, "dossier", "airline-key", "dossier", dossier, 3, false))
		time.Sleep(103 * time.Millisecond) // not at a step of the engine
		session.send(chat(negombo, "lookup", "counter-key", "counter-lookup", strings.Repeat("tag LK 4711? ", 400), 4, true))
		heavy()

		time.Sleep(time.Minute)
		session.finish("claims_desk")
	})
}
