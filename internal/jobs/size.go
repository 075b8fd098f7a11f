package jobs

import "unsafe"

// jobOverheadBytes is what a job takes beside its steps and tasks: its fields, its entries in maps, and its texts other than the payload.
const jobOverheadBytes int64 = 1 << 10

// MemoryBytes returns about how many bytes of memory a job of this description takes until it has ended. Texts count with their size in
// JSON, which a recovery has to hold beside them.
func (s *Spec) MemoryBytes() int64 {
	const ( // the slices of a decoded job have spare capacity: up to twice the length if they are short, a quarter if they are long
		stepBytes      = int64(unsafe.Sizeof(Step{})) * 5 / 4
		stepStateBytes = int64(unsafe.Sizeof(StepState{})) * 5 / 4
		taskBytes      = int64(unsafe.Sizeof(Task{})) * 5 / 4
		indexBytes     = int64(unsafe.Sizeof(int(0))) * 2
	)
	size, stateSize := jobOverheadBytes+escapedBytes(s.Payload), int64(0)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += stepBytes + indexBytes*int64(len(step.After)) + escapedBytes(step.Label) + escapedBytes(step.DataRack) + escapedBytes(step.Image)
		stateSize += stepStateBytes + taskBytes*int64(step.Count)
	}
	return size + int64(s.OccurrenceCount())*stateSize
}

// escapedBytes returns the size of a text in JSON, in which snapshots and records hold it.
func escapedBytes(text string) int64 {
	size := int64(len(text))
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c == '<' || c == '>' || c == '&':
			size += int64(len("\\u0000")) - 1
		case c == '"' || c == '\\':
			size++
		}
	}
	return size
}

// MemoryBytes returns about how many bytes of memory the job takes.
func (j *Job) MemoryBytes() int64 {
	if len(j.Occurrences) == 0 {
		return jobOverheadBytes
	}
	return j.Spec.MemoryBytes()
}

// ReleaseSteps drops the steps and tasks of an ended job, as a snapshot does. Its state stays the same. The job must have no placed tasks.
func (j *Job) ReleaseSteps() {
	j.Spec, j.Occurrences, j.doneOccurrenceCount = Spec{}, nil, 0
}
