package acaciarollout

import (
	"cmp"
	"time"
)

type (
	// Position identifies a record of a topic by the era of the store and the end of the topic right after
	// the record, which is its offset plus one; so the zero value is no record. Positions of different
	// eras can't be compared.
	Position struct {
		Era    int64 `json:"era"`
		Offset int64 `json:"offset"`
	}

	// OrderID identifies an order by its position in the operators' topic.
	OrderID = Position

	// Order asks that the requests of a service be moved to a software version.
	Order struct {
		Service, Target string
		// Duration is the time from the order to its deadline.
		Duration time.Duration
		ID       OrderID
	}

	// State is the state of an order as it is written to the store.
	State int

	// Settings holds the bounds that rollouts keep; a table without ExposeShare ignores all orders.
	Settings struct {
		// ExposeShare is the share of a service's requests that a version without a verdict may get.
		ExposeShare float64
		// ExposureSlack is the number of requests by which the rule may be exceeded. It is never
		// planned for, because gateways can't share it safely.
		ExposureSlack int
		// RollbackTime is the time after a bad version's 50th bad answer from which it gets no request.
		RollbackTime time.Duration
	}

	// Process identifies a run of a process.
	Process struct {
		Name string
		// Run is when the run started; a later run of the name has a greater one.
		Run int64
	}
)

// The states of an order.
const (
	StateNone State = iota
	StateRunning
	StateCompleted
	StateRolledBack
)

// AgeUnknown is the age of an order that this process hasn't seen appear.
const AgeUnknown time.Duration = -1

var stateNames = []string{"", "running", "completed", "rolled_back"}

// String returns the state as it is written to the store.
func (s State) String() string {
	return stateNames[s]
}

// ParseState returns the state of that name; StateNone if there is none.
func ParseState(name string) State {
	for i, known := range stateNames {
		if known == name {
			return State(i)
		}
	}
	return StateNone
}

// compare orders processes by name, then by run.
func (p Process) compare(other Process) int {
	return cmp.Or(cmp.Compare(p.Name, other.Name), cmp.Compare(p.Run, other.Run))
}

// Final reports whether the state is a verdict.
func (s State) Final() bool {
	return s == StateCompleted || s == StateRolledBack
}
