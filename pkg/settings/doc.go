// Package settings decodes and validates the configuration document of the fleet
// and the process settings of one host, and resolves the settings tree.
//
// Decoding is strict. A document with an unknown field, a wrong unit, a value out
// of range or a reference to something that does not exist is refused as a whole,
// and the error names the path of each fault. The package does not decide which
// version is in force: the host keeps the document in force when Parse refuses a
// new one.
//
// The settings tree has three levels: fleet, place and service. A value is
// inherited from fleet to place to service. Where two levels set different
// values, the one designated level of the document decides; where the
// designated level sets nothing, the most specific level that does wins.
//
// A Tree is immutable and safe for concurrent use.
package settings
