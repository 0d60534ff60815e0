package acaciacrash

// Stage is how far an answer has come. A request whose answer reaches a stage has not crashed its endpoint in an earlier one:
// the crash of a request at one stage speaks against its traits unless the answer to a request with them reaches a later one.
type Stage int

const (
	// StageBegun is the stage of an answer of which little or nothing has come.
	StageBegun Stage = 0
	// StageWhole is the stage of a whole answer.
	StageWhole Stage = 16

	// lastSuspectStage is the last stage at which the crash of an endpoint speaks against the request. Long answers are
	// likelier to be hit by crashes of another cause.
	lastSuspectStage Stage = 3

	// secondStageEvents is the number of events of a stream with which its second stage begins; each further one begins with
	// stageFactor times as many.
	secondStageEvents = 2
	stageFactor       = 4
)

// StageOf returns the stage of a stream that has not ended, by the number of its events.
func StageOf(events int) Stage {
	stage := StageBegun
	for ; events >= secondStageEvents && stage < StageWhole-1; events /= stageFactor {
		stage++
	}
	return stage
}
