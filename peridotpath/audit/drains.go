package audit

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath/logline"
)

// drain is the time for which an instance knew that a data centre is drained; a zero end where it
// did not end.
type drain struct {
	dataCentre string
	from, to   time.Time
	line       logline.Line
}

// addDrain adds a line that begins or ends a drain, or says in which data centre an endpoint is;
// false for any other line.
func (audit *Audit) addDrain(line logline.Line) bool {
	at, ok := timeOf(&line)
	instance, dataCentre := line.Pairs["instance"], line.Pairs["data_centre"]
	switch line.Event() {
	case "endpoint_joined":
		if audit.dataCentres == nil {
			audit.dataCentres = map[string]string{}
		}
		audit.dataCentres[line.Pairs["endpoint"]] = dataCentre
		return false // it is an announcement as well
	case "data_centre_drained":
		if ok {
			audit.addDrainStart(instance, drain{dataCentre: dataCentre, from: at, line: line})
		}
	case "data_centre_undrained":
		audit.endDrains(instance, dataCentre, at)
	case "started":
		// A new process reads the drains anew.
		audit.endDrains(instance, "", at)
		return false
	default:
		return false
	}
	return true
}

func (audit *Audit) addDrainStart(instance string, started drain) {
	if audit.drains == nil {
		audit.drains = map[string][]drain{}
	}
	audit.drains[instance] = append(audit.drains[instance], started)
}

// endDrains ends the drains of a data centre, or of all where it is empty, that an instance knew.
func (audit *Audit) endDrains(instance, dataCentre string, at time.Time) {
	drains := audit.drains[instance]
	for i := range drains {
		if drains[i].to.IsZero() && (dataCentre == "" || drains[i].dataCentre == dataCentre) {
			drains[i].to = at
		}
	}
}

// drainFindings returns the requests that an instance sent into a data centre that it knew to be
// drained.
func (audit *Audit) drainFindings() []Finding {
	var findings []Finding
	for path, on := range audit.announcements {
		for _, drain := range audit.drains[path.instance] {
			if dataCentre := audit.dataCentres[path.endpoint]; dataCentre == "" || dataCentre != drain.dataCentre {
				continue
			}
			for _, sent := range on.sends {
				if sent.arrivedAt.After(drain.from.Add(maxDrainTime)) && (drain.to.IsZero() || sent.sentAt.Before(drain.to.Add(-logResolution))) {
					findings = append(findings, Finding{
						Request: sent.request, Fault: FaultSentToDrained, Lines: append([]string{drain.line.Text}, audit.requests[sent.request].lines()...),
					})
				}
			}
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int {
		if a.Request < b.Request {
			return -1
		}
		return 1
	})
	return findings
}
