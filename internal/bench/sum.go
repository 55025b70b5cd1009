package bench

// Total sums up the runs of one policy.
type Total struct {
	Policy     Policy
	Runs       int
	Saturated  int      // runs whose figures are invalid; their violations count
	Failed     []uint64 // seeds with violations
	Violations Violations
}

// Sum sums up the runs of a policy.
func Sum(runs []*Summary, policy Policy) Total {
	t := Total{Policy: policy}
	for _, r := range runs {
		if r.Policy != policy {
			continue
		}
		t.Runs++
		if r.Usage.Saturated {
			t.Saturated++
		}
		if r.Violations() > 0 {
			t.Failed = append(t.Failed, r.Seed)
			t.Violations.add(r.Rows[len(r.Rows)-1].Violations)
		}
	}
	return t
}
