package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"peridotpath.example/peridotpath/engine"
)

// counts adds up what the endpoints ran, by request.
func counts(ctx context.Context, target *Target) (map[string]engine.Count, error) {
	sum := map[string]engine.Count{}
	for _, address := range target.Endpoints {
		counted, err := countsOf(ctx, target, address)
		if err != nil {
			return nil, fmt.Errorf("counts of %s: %w", address, err)
		}
		for id, one := range counted.Requests {
			total := sum[id]
			total.Runs += one.Runs
			total.Finished += one.Finished
			total.Cancelled += one.Cancelled
			total.Refused += one.Refused
			sum[id] = total
		}
	}
	return sum, nil
}

func countsOf(ctx context.Context, target *Target, address netip.AddrPort) (*engine.Counts, error) {
	response, err := target.get(ctx, address, engine.PathCounts)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	counted := &engine.Counts{}
	return counted, json.NewDecoder(response.Body).Decode(counted)
}

// Audit holds what callers were told against what the endpoints did.
type Audit struct {
	// Lost had neither an answer nor a failure within their time.
	Lost int
	// Twice are not idempotent and ran more than once.
	Twice int
	// CutOff began to be answered and broke off for good.
	CutOff int
	// Wrong got an answer that was not whole or not their own.
	Wrong int
	// NotRunButRan were told in each of their copies only that they were not run,
	// and ran.
	NotRunButRan int
	// Unfinished were answered though no endpoint finished them.
	Unfinished int
	// Unknown were told that they may have run; no fault, if it is the truth.
	Unknown int
}

// Clean reports whether nothing is held against the system.
func (audit *Audit) Clean() bool {
	return audit.Lost+audit.Twice+audit.CutOff+audit.Wrong+audit.NotRunButRan+audit.Unfinished == 0
}

func auditOf(endings []*ending, counted map[string]engine.Count) *Audit {
	audit := &Audit{}
	toldNotRun := map[string]bool{}
	for _, ending := range endings {
		told, seen := toldNotRun[ending.request.id]
		toldNotRun[ending.request.id] = ending.onlyNotRun && (told || !seen)
		count := counted[ending.request.id]
		switch ending.verdict {
		case lost:
			audit.Lost++
		case cutOff:
			audit.CutOff++
		case wrong:
			audit.Wrong++
		case unknown:
			audit.Unknown++
		case answered:
			if count.Finished == 0 {
				audit.Unfinished++
			}
		}
		if !ending.request.work.Idempotent && count.Runs > 1 {
			audit.Twice++
		}
	}
	for id, told := range toldNotRun {
		if told && counted[id].Runs > 0 {
			audit.NotRunButRan++
		}
	}
	return audit
}
