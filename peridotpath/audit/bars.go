package audit

import (
	"strings"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/logline"
)

const (
	// barNotice is the time after a bar by which no instance may send what is barred.
	barNotice = 3 * time.Second
	// maxSentWhileBarred is the number of requests that may still be sent: trials, and what an
	// instance sends that has just resumed.
	maxSentWhileBarred = 3
)

// bar is the time for which a part of a customer's prompts is kept off the endpoints.
type bar struct {
	from, to time.Time
	line     logline.Line
}

// partSend is an attempt at a request with a part, which crashed its endpoint or not.
type partSend struct {
	request peridotpath.RequestID
	sentAt  time.Time
	crashed bool
}

// addBar adds a line that bars a part; false for any other line.
func (audit *Audit) addBar(line logline.Line) bool {
	if line.Event() != "request_barred" {
		return false
	}
	at, ok := timeOf(&line)
	if !ok || line.Pairs["part"] == "" {
		return true
	}
	if audit.bars == nil {
		audit.bars = map[string][]bar{}
	}
	key := line.Pairs["content"]
	audit.bars[key] = append(audit.bars[key], bar{from: at, to: at.Add(milliseconds(line.Number("span"))), line: line})
	return true
}

// addPartSend adds the attempt of a request's line to each of its parts.
func (audit *Audit) addPartSend(line *logline.Line, sentAt time.Time) {
	parts := line.Pairs["parts"]
	if parts == "" {
		return
	}
	if audit.partSends == nil {
		audit.partSends = map[string][]partSend{}
	}
	customer := peridotpath.CustomerID(line.Pairs["customer"])
	for part := range strings.SplitSeq(parts, ",") {
		key := peridotpath.FingerprintOfPart(customer, peridotpath.PartID(part)).String()
		audit.partSends[key] = append(audit.partSends[key], partSend{
			request: peridotpath.RequestID(line.Pairs["request"]), sentAt: sentAt, crashed: line.Pairs["endpoint_gone"] == "true",
		})
	}
}

// barFindings returns the requests with a barred part that crashed endpoints, more than
// maxSentWhileBarred in one bar. One that is answered lifts the bar, and is no fault.
func (audit *Audit) barFindings() []Finding {
	var findings []Finding
	for key, bars := range audit.bars {
		for _, bar := range bars {
			sent := 0
			for _, send := range audit.partSends[key] {
				if !send.crashed || !send.sentAt.After(bar.from.Add(barNotice)) || !send.sentAt.Before(bar.to) {
					continue
				}
				if sent++; sent > maxSentWhileBarred {
					findings = append(findings, Finding{
						Request: send.request, Fault: FaultSentWhileBarred, Lines: append([]string{bar.line.Text}, audit.requests[send.request].lines()...),
					})
				}
			}
		}
	}
	return findings
}
