package decide

// Mechanism is a bit set of the scheduler's mechanisms. Benchmarks disable
// single ones to measure the effect of each.
type Mechanism uint32

// The mechanisms that can be disabled.
const (
	// MechanismSentCorrection adds the work sent since an endpoint's report to that
	// report.
	MechanismSentCorrection Mechanism = 1 << iota
	// MechanismAffinity discounts tokens that an endpoint's prefix cache may
	// hold.
	MechanismAffinity
	// MechanismSubset confines long work to a subset of the endpoints.
	MechanismSubset
	// MechanismSampling compares a few random candidates instead of all
	// endpoints.
	MechanismSampling
	// MechanismMemory predicts the free KV memory of an endpoint before
	// placement.
	MechanismMemory
	// MechanismBacklog queues work while every endpoint has a full backlog.
	MechanismBacklog
	// MechanismFairQueue serves customers by deficit round robin, in tokens.
	MechanismFairQueue
	// MechanismDemotion lowers the priority of customers above their fair share.
	MechanismDemotion
	// MechanismPriority sends the profile's priority to the engines.
	MechanismPriority
	// MechanismPrediction refuses work that is predicted to miss its deadline.
	MechanismPrediction
	// MechanismEjection ejects failing endpoints (outlier ejection).
	MechanismEjection
	// MechanismSlowness corrects for endpoints that are slower than they report.
	MechanismSlowness
	// MechanismRetryBudget limits retries to a share of the requests.
	MechanismRetryBudget
	// MechanismAgeing raises the priority of work that has long been queued.
	MechanismAgeing
	// MechanismRetrySchedule schedules the retries of refused callers at the drain
	// rate.
	MechanismRetrySchedule
)

// Mechanisms returns every mechanism by the name that benchmarks use.
func Mechanisms() map[string]Mechanism {
	return map[string]Mechanism{
		"sent":         MechanismSentCorrection,
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
		"promise":      MechanismRetrySchedule,
	}
}
