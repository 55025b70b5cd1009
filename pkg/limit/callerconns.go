package limit

const (
	// FilesKept is the part of the descriptor limit that the platform keeps for files.
	FilesKept = 200
	// callerConnBytes is the memory of a caller's connection without a body: buffers, stacks
	// and what the server keeps of a short head.
	callerConnBytes = 24 << 10
	// callerConnMemoryDivisor divides the memory limit into the part for callers' connections,
	// callerBytesDivisor into that for their requests. An eighth is for large answers of targets
	// (package backend); the remaining half is for the runtime, its garbage and the rest.
	callerConnMemoryDivisor = 4
	callerBytesDivisor      = 8
	// defaultCallerBytes bounds the requests of callers if the memory is not limited.
	defaultCallerBytes = 64 << 20
	// callerConnShare divides the descriptors into the part for callers' connections; the rest
	// is for targets, peers, the store and operators.
	callerConnShare = 2
	// sideConnShare divides the descriptors into the part of each other listener.
	sideConnShare = 16
	minConns      = 16
)

// CallerParts are the parts of a host's limits that its callers may use.
type CallerParts struct {
	Bytes     int64 // for requests
	Conns     int   // connections of callers; 0 for no bound
	SideConns int   // connections to each other listener; 0 for no bound
}

// CallerPartsOf returns the parts for limits of the process, of which 0 means none.
func CallerPartsOf(memoryBytes int64, descriptors int) CallerParts {
	p := CallerParts{Bytes: defaultCallerBytes}
	if descriptors > 0 {
		usable := max(descriptors-FilesKept, 0)
		p.Conns = max(usable/callerConnShare, minConns)
		p.SideConns = max(usable/sideConnShare, minConns)
	}
	if memoryBytes > 0 {
		p.Bytes = memoryBytes / callerBytesDivisor
		byMemory := max(int(memoryBytes/callerConnMemoryDivisor/callerConnBytes), minConns)
		if p.Conns == 0 || byMemory < p.Conns {
			p.Conns = byMemory
		}
	}
	return p
}
