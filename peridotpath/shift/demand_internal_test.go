package shift

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The store is restored from an older copy with smaller totals. That must count as no
// demand, and the rate so far must be kept.
func TestDemandAfterStoreRestore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var estimator demandEstimator
	estimator.addSample(now, DemandTotal{Prompts: 10, Tokens: 1_000_000})
	estimator.addSample(now.Add(time.Second), DemandTotal{Prompts: 12, Tokens: 1_200_000})
	rate, lastPromptAt := estimator.tokensPerSecond, estimator.lastPromptAt
	estimator.addSample(now.Add(2*time.Second), DemandTotal{Prompts: 9, Tokens: 900_000})
	is.Equal(estimator.tokensPerSecond, rate)
	is.Equal(estimator.lastPromptAt, lastPromptAt)
	estimator.addSample(now.Add(3*time.Second), DemandTotal{Prompts: 10, Tokens: 1_000_000})
	is.True(estimator.tokensPerSecond >= 0 && estimator.tokensPerSecond <= 1_200_000)
}
