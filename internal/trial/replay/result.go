package replay

import "sort"

// Result is the outcome of one trace with one policy.
type Result struct {
	Trace  string `json:"trace"`
	Policy Policy `json:"policy"`
	// Requests is the number of requests in the trace.
	Requests int `json:"requests"`
	// HitRate is the fraction of prompt tokens found in the chosen engine's cache.
	HitRate float64 `json:"hit"`
	// P50, P95 and P99 are times to first token in seconds.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// Waste is the number of tokens computed although another engine had them cached, per prompt token.
	Waste float64 `json:"waste"`
	// WorstWithinTarget is the lowest Service.WithinTarget of all workspaces.
	WorstWithinTarget float64 `json:"worst"`
	// Rejected is the fraction of requests within the rate limit that were rejected.
	Rejected float64 `json:"wrongful"`
	// Workspaces holds the service of each workspace's requests within its rate limit.
	Workspaces map[string]Service `json:"-"`
}

// Service summarizes the service of one workspace.
type Service struct {
	// WithinTarget is the fraction of its requests within the rate limit whose first token arrived within firstTokenTarget.
	WithinTarget float64
	// P95 is the 95th percentile of the time to first token in seconds.
	P95 float64
}

// tally aggregates the outcomes of a replay.
type tally struct {
	// firstTokens and workspaceFirstTokens are times to first token in seconds.
	firstTokens          []float64
	promptTokens         int64
	cachedTokens         int64
	wastedTokens         int64
	workspaceFirstTokens map[string][]float64
	// withinTarget and withinRate count requests by workspace.
	withinTarget map[string]int
	withinRate   map[string]int
	rejected     int
}

func (r *run) result() Result {
	t := r.tally
	sort.Float64s(t.firstTokens)
	res := Result{
		Trace:             r.trace.Header.Name,
		Policy:            r.policy,
		Requests:          len(r.trace.Rows),
		HitRate:           float64(t.cachedTokens) / float64(max(1, t.promptTokens)),
		P50:               quantile(t.firstTokens, 0.50),
		P95:               quantile(t.firstTokens, 0.95),
		P99:               quantile(t.firstTokens, 0.99),
		Waste:             float64(t.wastedTokens) / float64(max(1, t.promptTokens)),
		WorstWithinTarget: 1,

		Workspaces: make(map[string]Service),
	}
	withinRate := 0
	for workspace, n := range t.withinRate {
		withinRate += n
		sort.Float64s(t.workspaceFirstTokens[workspace])
		service := Service{WithinTarget: float64(t.withinTarget[workspace]) / float64(n), P95: quantile(t.workspaceFirstTokens[workspace], 0.95)}
		res.Workspaces[workspace] = service
		res.WorstWithinTarget = min(res.WorstWithinTarget, service.WithinTarget)
	}
	res.Rejected = float64(t.rejected) / float64(max(1, withinRate))
	return res
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
