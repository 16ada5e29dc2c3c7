package decide

// Mechanism is a set of the scheduler's mechanisms. Measurements turn single
// ones off to see what each buys.
type Mechanism uint32

// The mechanisms.
const (
	// MechanismSent adds what was sent since an endpoint's report to that report.
	MechanismSent Mechanism = 1 << iota
	// MechanismAffinity counts tokens that an endpoint's prefix cache may hold.
	MechanismAffinity
	// MechanismSubset keeps long work on a subset of the endpoints.
	MechanismSubset
	// MechanismSampling compares a few random candidates in place of all.
	MechanismSampling
	// MechanismMemory predicts the endpoints' KV memory before placing.
	MechanismMemory
	// MechanismBacklog holds work back while every endpoint has enough to do.
	MechanismBacklog
	// MechanismFairQueue shares the queues between customers by tokens.
	MechanismFairQueue
	// MechanismDemotion sends a customer's work above its share at lower priority.
	MechanismDemotion
	// MechanismPriority tells the engines the profile's priority.
	MechanismPriority
	// MechanismPrediction refuses what is predicted to miss its deadline.
	MechanismPrediction
	// MechanismEjection takes failing endpoints out for a while.
	MechanismEjection
	// MechanismSlowness learns endpoints that answer later than they claim.
	MechanismSlowness
	// MechanismRetryBudget bounds retries to a share of the requests.
	MechanismRetryBudget
	// MechanismAgeing raises the priority of work that has waited long.
	MechanismAgeing
	// MechanismPromise spreads the times at which refused callers return.
	MechanismPromise
)

// Mechanisms lists every mechanism with the name that measurements use.
func Mechanisms() map[string]Mechanism {
	return map[string]Mechanism{
		"sent":         MechanismSent,
		"affinity":     MechanismAffinity,
		"subset":       MechanismSubset,
		"sampling":     MechanismSampling,
		"memory":       MechanismMemory,
		"backlog":      MechanismBacklog,
		"fair_queue":   MechanismFairQueue,
		"demotion":     MechanismDemotion,
		"priority":     MechanismPriority,
		"prediction":   MechanismPrediction,
		"ejection":     MechanismEjection,
		"slowness":     MechanismSlowness,
		"retry_budget": MechanismRetryBudget,
		"ageing":       MechanismAgeing,
		"promise":      MechanismPromise,
	}
}
