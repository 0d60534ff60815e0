package acaciaevent

const (
	// maxIDBytes, maxDetailBytes and maxSegments bound what an event holds of a caller's request, because a process keeps
	// thousands of events.
	maxIDBytes     = 128
	maxDetailBytes = 1 << 10
	maxSegments    = 64
	// cutMark ends a text that is cut.
	cutMark = "..."
)

// limitSize cuts what callers decide of the event's size.
func (e *Event) limitSize() {
	e.RequestID = cut(e.RequestID, maxIDBytes)
	e.Model = cut(e.Model, maxIDBytes)
	e.Detail = cut(e.Detail, maxDetailBytes)
	if e.Inputs == nil || len(e.Inputs.PromptSegments) <= maxSegments && len(e.Inputs.Resumes) <= maxIDBytes {
		return
	}
	// The caller of Record may share the inputs with other events.
	inputs := *e.Inputs
	inputs.Resumes = cut(inputs.Resumes, maxIDBytes)
	if len(inputs.PromptSegments) > maxSegments {
		inputs.PromptSegments = append([]string(nil), inputs.PromptSegments[:maxSegments]...)
	}
	e.Inputs = &inputs
}

// cut returns a text of at most size bytes that holds no longer one in memory.
func cut(text string, size int) string {
	if len(text) <= size {
		return text
	}
	return string([]byte(text[:size-len(cutMark)])) + cutMark
}
