// Package bench is the load generator. It runs a deployment on loopback, sends it
// an open-loop load while a case injects faults, and reports latency, coverage and
// violations. It owns the cases, the faults and the checks of answers; the commands
// that use it decide which results are a failure.
//
// Arrivals are a seeded Poisson process and do not wait for answers. Latency counts
// from the intended start, which avoids coordinated omission. Violations are counted
// by the stand-ins and by comparing each answer with a full scan of the dataset
// at the answer's snapshot, never from what the hosts report of themselves.
//
// Flat and Naive are the baselines for the tier, which is the hosts of PolicyTier with
// their branch hosts. Both baselines are flat scatters: the entry host
// sends each query directly to a searcher of every group, without branch hosts. Naive,
// the reference of the differential tests, chooses replicas at random. Both are safe for
// concurrent use. Runs go one at a time, because Usage counts the processor time of the
// whole process.
package bench
