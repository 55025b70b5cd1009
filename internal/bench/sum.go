package bench

// PolicyTotal is the sum of the runs of one policy.
type PolicyTotal struct {
	Policy      Policy
	Runs        int
	Saturated   int      // runs with invalid latencies; their violations count
	FailedSeeds []uint64 // seeds with violations
	Violations  Violations
}

// SumRuns returns the sum of the runs of a policy; runs of other policies are ignored.
func SumRuns(runs []*Summary, policy Policy) PolicyTotal {
	t := PolicyTotal{Policy: policy}
	for _, r := range runs {
		if r.Policy != policy {
			continue
		}
		t.Runs++
		if r.Usage.Saturated {
			t.Saturated++
		}
		if r.ViolationCount() > 0 {
			t.FailedSeeds = append(t.FailedSeeds, r.Seed)
			t.Violations.add(r.Rows[len(r.Rows)-1].Violations)
		}
	}
	return t
}
