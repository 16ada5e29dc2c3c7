package outbound

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfterSeconds caps the delay that a server can ask for, so that it can be represented
// as a duration.
const maxRetryAfterSeconds = 24 * 60 * 60

// RetryAfter returns the longest valid delay in a response's Retry-After headers; zero if
// there is none. Seconds may be fractional.
func RetryAfter(header http.Header) time.Duration {
	longest := 0.0
	for _, text := range HeaderList(header, "Retry-After") {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
			continue
		}
		longest = max(longest, min(seconds, maxRetryAfterSeconds))
	}
	return time.Duration(longest * float64(time.Second))
}

// HeaderList returns the comma-separated values of all lines of a header.
func HeaderList(header http.Header, name string) []string {
	var list []string
	for _, line := range header.Values(name) {
		for text := range strings.SplitSeq(line, ",") {
			list = append(list, strings.TrimSpace(text))
		}
	}
	return list
}

// BackoffError is a refusal by a server that wants no further requests for a time.
type BackoffError struct {
	// Delay is the time for which the server wants no requests.
	Delay time.Duration
	// Refusal is the error of the refused request.
	Refusal error
}

// Error returns the refusal and the delay.
func (backoffError *BackoffError) Error() string {
	return fmt.Sprintf("%v; no requests wanted for %v", backoffError.Refusal, backoffError.Delay)
}

// Unwrap returns the refusal.
func (backoffError *BackoffError) Unwrap() error { return backoffError.Refusal }

// WithBackoff returns the error of a refused request, as a BackoffError if the response asks
// for a delay.
func WithBackoff(response *http.Response, refusal error) error {
	if delay := RetryAfter(response.Header); delay > 0 {
		return &BackoffError{Delay: delay, Refusal: refusal}
	}
	return refusal
}
