package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"peridotpath.example/peridotpath/engine"
)

// fetchCounts returns the endpoints' counts of runs, summed up by request ID.
func fetchCounts(ctx context.Context, target *Target) (map[string]engine.Count, error) {
	totals := map[string]engine.Count{}
	for _, address := range target.Endpoints {
		counts, err := fetchEndpointCounts(ctx, target, address)
		if err != nil {
			return nil, fmt.Errorf("counts of %s: %w", address, err)
		}
		for id, count := range counts.Requests {
			total := totals[id]
			total.Runs += count.Runs
			total.Finished += count.Finished
			total.Cancelled += count.Cancelled
			total.Refused += count.Refused
			totals[id] = total
		}
	}
	return totals, nil
}

func fetchEndpointCounts(ctx context.Context, target *Target, address netip.AddrPort) (*engine.Counts, error) {
	response, err := target.get(ctx, address, engine.PathCounts)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	counts := &engine.Counts{}
	return counts, json.NewDecoder(response.Body).Decode(counts)
}

// Audit counts the requests whose replies contradict what the endpoints ran.
type Audit struct {
	// Lost counts the requests that got neither an answer nor an error by their deadline.
	Lost int
	// RanTwice counts the requests that ran more than once although they are not idempotent.
	RanTwice int
	// CutOff counts the requests whose answer broke off and could not be resumed.
	CutOff int
	// WrongAnswer counts the requests that got an incomplete answer or that of another request.
	WrongAnswer int
	// NotRunButRan counts the requests that ran although the replies to all copies report
	// that they did not.
	NotRunButRan int
	// AnsweredUnfinished counts the requests that got an answer although no endpoint finished
	// them.
	AnsweredUnfinished int
	// OutcomeUnknown counts the requests that may have run according to their reply, which is
	// not a fault.
	OutcomeUnknown int
}

// IsClean reports whether the audit found no fault.
func (audit *Audit) IsClean() bool {
	return audit.Lost+audit.RanTwice+audit.CutOff+audit.WrongAnswer+audit.NotRunButRan+audit.AnsweredUnfinished == 0
}

func newAudit(results []*result, counts map[string]engine.Count) *Audit {
	audit := &Audit{}
	reportedNotRun := map[string]bool{}
	for _, result := range results {
		notRun, seen := reportedNotRun[result.request.id]
		reportedNotRun[result.request.id] = result.isCertainlyNotRun && (notRun || !seen)
		count := counts[result.request.id]
		switch result.verdict {
		case verdictLost:
			audit.Lost++
		case verdictCutOff:
			audit.CutOff++
		case verdictWrong:
			audit.WrongAnswer++
		case verdictUnknown:
			audit.OutcomeUnknown++
		case verdictAnswered:
			if count.Finished == 0 {
				audit.AnsweredUnfinished++
			}
		}
		if !result.request.work.Idempotent && count.Runs > 1 {
			audit.RanTwice++
		}
	}
	for id, notRun := range reportedNotRun {
		if notRun && counts[id].Runs > 0 {
			audit.NotRunButRan++
		}
	}
	return audit
}
