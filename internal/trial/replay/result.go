package replay

import "sort"

// Result is the row of one trace under one policy.
type Result struct {
	Trace  string `json:"trace"`
	Policy Policy `json:"policy"`
	// Requests is the number of requests in the trace.
	Requests int `json:"requests"`
	// Hit is the fraction of prompt tokens found in a cache.
	Hit float64 `json:"hit"`
	// P50, P95 and P99 are times to first token in seconds.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// Waste is the tokens recomputed though another engine had them, per prompt token.
	Waste float64 `json:"waste"`
	// Worst is the least fraction of a workspace's requests within rate that had their first token in time.
	Worst float64 `json:"worst"`
	// Wrongful is the fraction of the requests within rate that were refused.
	Wrongful float64 `json:"wrongful"`
	// Workspaces says how each workspace's requests within rate were served.
	Workspaces map[string]Service `json:"-"`
}

// Service is how one workspace was served.
type Service struct {
	// InTime is the fraction of its requests whose first token came within the target.
	InTime float64
	// P95 is a time to first token in seconds.
	P95 float64
}

// tally collects the outcomes.
type tally struct {
	times    []float64
	prompt   int64
	cached   int64
	wasted   int64
	by       map[string][]float64
	good     map[string]int
	within   map[string]int
	wrongful int
}

func (r *run) result() Result {
	t := r.tally
	sort.Float64s(t.times)
	res := Result{
		Trace:    r.trace.Header.Trace,
		Policy:   r.policy,
		Requests: len(r.trace.Rows),
		Hit:      float64(t.cached) / float64(max(1, t.prompt)),
		P50:      quantile(t.times, 0.50),
		P95:      quantile(t.times, 0.95),
		P99:      quantile(t.times, 0.99),
		Waste:    float64(t.wasted) / float64(max(1, t.prompt)),
		Worst:    1,

		Workspaces: make(map[string]Service),
	}
	within := 0
	for workspace, n := range t.within {
		within += n
		sort.Float64s(t.by[workspace])
		service := Service{InTime: float64(t.good[workspace]) / float64(n), P95: quantile(t.by[workspace], 0.95)}
		res.Workspaces[workspace] = service
		res.Worst = min(res.Worst, service.InTime)
	}
	res.Wrongful = float64(t.wrongful) / float64(max(1, within))
	return res
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
