package jobs

// Kinds of steps in log lines.
const (
	KindServing    = "serving"     // runs until its job is cancelled
	KindBestEffort = "best_effort" // uses only the CPU time that others leave idle
	KindShort      = "short"       // every other step
)

// Kind returns the kind of the step.
func (s *Step) Kind() string {
	switch {
	case s.Perpetual:
		return KindServing
	case s.BestEffort:
		return KindBestEffort
	}
	return KindShort
}
