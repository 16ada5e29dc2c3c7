package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
)

// counts adds up what the endpoints ran, by request.
func counts(ctx context.Context, endpoints []netip.AddrPort) (map[string]engine.Count, error) {
	sum := map[string]engine.Count{}
	for _, address := range endpoints {
		counted, err := countsOf(ctx, address)
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

func countsOf(ctx context.Context, address netip.AddrPort) (*engine.Counts, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+engine.PathCounts, nil)
	if err != nil {
		return nil, err
	}
	response, err := outbound.Do(request)
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
	// NotRunButRan were told only that they were not run, and ran.
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
	for _, ending := range endings {
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
		if ending.onlyNotRun && count.Runs > 0 {
			audit.NotRunButRan++
		}
	}
	return audit
}
