// Package bench is the load tool. It runs a deployment on loopback, sends it an
// open-loop load while a case applies faults, and reports latency, coverage and
// violations.
//
// Arrivals follow a Poisson process of a seed and do not wait for answers;
// latency counts from the intended start, so that a slow answer cannot hide the
// ones behind it. Violations are counted from the stand-ins' own logs and by
// comparing each answer with the naive search of the dataset at the answer's
// snapshot, never from what the tier says about itself.
//
// The package also holds the two policies that the tier is compared with: Flat
// scatters from the entry host to every searcher, and Naive does so without
// any policy. Naive is the reference of the differential tests.
package bench
