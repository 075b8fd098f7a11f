package intake

// Limits are the limits of a process on what it takes in.
type Limits struct {
	BodyBytes          int64 // of unfinished requests
	CallerConnections  int
	WorkerConnections  int // registrations
	PeerConnections    int
	ProbeConnections   int // readiness
	MetricsConnections int
}

const (
	bodyShare       = 6        // inverse of the share of the memory that unfinished requests may hold
	connectionShare = 4        // inverse of the share of the memory that connections of callers may hold
	connectionBytes = 28 << 10 // memory of an open connection with a small request
	reservedFiles   = 200      // descriptors that are no sockets
	minConnections  = 8

	workerConnections, peerConnections, probeConnections, metricsConnections = 128, 64, 32, 16
	// smallShare is the inverse of the largest share of the sockets that each of these may have.
	smallShare = 16
)

// LimitsFor returns the limits of a process with this memory in bytes and this number of descriptors.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	sockets := max(descriptors-reservedFiles, 0)
	small := func(most int) int { return max(min(most, sockets/smallShare), minConnections) }
	return Limits{
		BodyBytes:         memoryBytes / bodyShare,
		CallerConnections: max(min(sockets/3*2, int(memoryBytes/connectionShare/connectionBytes)), minConnections),
		WorkerConnections: small(workerConnections), PeerConnections: small(peerConnections),
		ProbeConnections: small(probeConnections), MetricsConnections: small(metricsConnections),
	}
}
