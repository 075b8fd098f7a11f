package delaycost

// Model is what an owner has learned for the cost of delays.
type Model struct {
	RunTimes *RunTimes
	Tails    *Tails
	Sizes    *Sizes
	// UnplacedBestEffortCPU is the CPU, in thousandths of a core, of the best-effort tasks that could start and found no worker in the last
	// planning pass.
	UnplacedBestEffortCPU int
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{RunTimes: NewRunTimes(), Tails: NewTails(), Sizes: NewSizes()} }
