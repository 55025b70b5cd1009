package bench

// PolicyTotal sums up the runs of one policy.
type PolicyTotal struct {
	Policy      Policy
	Runs        int
	Saturated   int      // runs whose figures are invalid; their violations count
	FailedSeeds []uint64 // seeds with violations
	Violations  Violations
}

// SumRuns sums up the runs of a policy.
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
