package delaycost

// Model is what an owner has learned for the cost of delays.
type Model struct {
	RunTimes *RunTimes
	Tails    *Tails
	Sizes    *Sizes
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{RunTimes: NewRunTimes(), Tails: NewTails(), Sizes: NewSizes()} }
