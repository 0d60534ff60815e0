package acaciaevent

import "fmt"

// Kind is the number of a kind of event; docs/EVENTS.md lists every value.
type Kind int

// The kinds of events, grouped by hundreds: 1xx processes, 2xx requests,
// 3xx idempotency keys, 4xx configuration, 5xx the platform and peers, 6xx orders to
// engines, 7xx rollouts.
const (
	ProcessStarted  Kind = 101
	ProcessReady    Kind = 102
	ProcessStopping Kind = 103
	ProcessStopped  Kind = 104
	// SettingsApplied marks that changed settings are in force, SettingsRefused that some of them need a
	// restart, SettingsInvalid that those in force are kept because the new ones can't be read.
	SettingsApplied Kind = 105
	SettingsRefused Kind = 106
	SettingsInvalid Kind = 107

	RequestArrived       Kind = 201
	RequestRefused       Kind = 202
	RequestShed          Kind = 203
	RequestAccepted      Kind = 204
	ReservationQueued    Kind = 205
	ReservationWithdrawn Kind = 206
	GrantGiven           Kind = 207
	GrantExpired         Kind = 208
	RequestDispatched    Kind = 209
	FirstToken           Kind = 210
	AnswerFinished       Kind = 211
	AnswerDelivered      Kind = 212
	AnswerCut            Kind = 213
	RequestCancelled     Kind = 214
	OutcomeUnknown       Kind = 215
	AnswerResumed        Kind = 216
	RequestSettled       Kind = 217
	EngineFailed         Kind = 218
	EndpointDied         Kind = 219
	RequestIsolated      Kind = 220
	ReservationLate      Kind = 221
	EndpointSlowed       Kind = 222
	EndpointRecovered    Kind = 223
	RequestRepeated      Kind = 224
	ReservationHopeless  Kind = 225
	// AnswerEndUnproven marks that an answer ended with its connection and may not be whole.
	AnswerEndUnproven Kind = 226

	KeyClaimed   Kind = 301
	KeyAttached  Kind = 302
	KeyConflict  Kind = 303
	KeyUndecided Kind = 304

	ConfigurationApplied Kind = 401
	ConfigurationRefused Kind = 402
	ConfigurationLearned Kind = 403
	ConfigurationKept    Kind = 404
	// ConfigurationOutdated marks a version that is not newer than the one in force.
	ConfigurationOutdated Kind = 405

	LogDown     Kind = 501
	LogUp       Kind = 502
	VMListDown  Kind = 503
	VMListUp    Kind = 504
	VMLeaving   Kind = 505
	VMListed    Kind = 506
	LogTrimmed  Kind = 508
	CacheMissed Kind = 509
	VMJoined    Kind = 510
	VMChanged   Kind = 511
	VMGone      Kind = 512
	VMKept      Kind = 513

	AgentUnreached Kind = 514
	DependencyLost Kind = 515
	DependencyBack Kind = 516
	CallFailed     Kind = 517
	VMReturned     Kind = 518
	PeerFound      Kind = 519
	PeerLost       Kind = 520
	// EndpointLimited marks a change of the rate of requests that an endpoint accepts.
	EndpointLimited Kind = 521
	// StoreRestored marks the first read after the store was restored from a copy.
	StoreRestored Kind = 522
	// RegistrationOutdated marks a registration of an endpoint that is older than what is known.
	RegistrationOutdated Kind = 523
	// EndpointLeaving marks that an endpoint has said in an answer that it is leaving.
	EndpointLeaving Kind = 524
	// EndpointBackoff and EndpointBackoffEnded mark the time for which an endpoint that turned a
	// request away wants none from this process.
	EndpointBackoff      Kind = 525
	EndpointBackoffEnded Kind = 526
	// VersionDoubted marks that an endpoint refuses connections, so that another software version
	// may start in its place before it registers.
	VersionDoubted Kind = 527
	// StreamContinued marks that the rest of a stream begins to come from an endpoint.
	StreamContinued Kind = 533

	LeaseTaken   Kind = 601
	OrderIssued  Kind = 602
	OrderDone    Kind = 603
	OrderFailed  Kind = 604
	OrderSent    Kind = 605
	OrderRefused Kind = 606

	RolloutOrdered   Kind = 701
	RolloutRefused   Kind = 702
	RolloutWithdrawn Kind = 703
	// RolloutStepped marks that more requests, or fewer, may go to the target of an order.
	RolloutStepped Kind = 704
	RolloutJudged  Kind = 705
	// RolloutWritten marks that the store has acknowledged the status of an order.
	RolloutWritten Kind = 706
	// RolloutConflict marks that a status was not written because the topic had changed.
	RolloutConflict Kind = 707
	// ExposureRefused marks that this gateway sends nothing to the target of an order for now.
	ExposureRefused Kind = 708
	// RolloutAnswerBad marks an answer of the target that counts against it.
	RolloutAnswerBad Kind = 709
)

// DetailSafeMethod is the detail of a RequestArrived event whose request has a safe
// method and may therefore run more than once.
const DetailSafeMethod = "safe"

var kindNames = map[Kind]string{
	ProcessStarted:  "process_started",
	ProcessReady:    "process_ready",
	ProcessStopping: "process_stopping",
	ProcessStopped:  "process_stopped",
	SettingsApplied: "settings_applied",
	SettingsRefused: "settings_refused",
	SettingsInvalid: "settings_invalid",

	RequestArrived:       "request_arrived",
	RequestRefused:       "request_refused",
	RequestShed:          "request_shed",
	RequestAccepted:      "request_accepted",
	ReservationQueued:    "reservation_queued",
	ReservationWithdrawn: "reservation_withdrawn",
	GrantGiven:           "grant_given",
	GrantExpired:         "grant_expired",
	RequestDispatched:    "request_dispatched",
	FirstToken:           "first_token",
	AnswerFinished:       "answer_finished",
	AnswerDelivered:      "answer_delivered",
	AnswerCut:            "answer_cut",
	RequestCancelled:     "request_cancelled",
	OutcomeUnknown:       "outcome_unknown",
	AnswerResumed:        "answer_resumed",
	RequestSettled:       "request_settled",
	EngineFailed:         "engine_failed",
	EndpointDied:         "endpoint_died",
	RequestIsolated:      "request_isolated",
	ReservationLate:      "reservation_late",
	EndpointSlowed:       "endpoint_slowed",
	EndpointRecovered:    "endpoint_recovered",
	RequestRepeated:      "request_repeated",
	ReservationHopeless:  "reservation_hopeless",
	AnswerEndUnproven:    "answer_end_unproven",

	KeyClaimed:   "key_claimed",
	KeyAttached:  "key_attached",
	KeyConflict:  "key_conflict",
	KeyUndecided: "key_undecided",

	ConfigurationApplied:  "configuration_applied",
	ConfigurationRefused:  "configuration_refused",
	ConfigurationLearned:  "configuration_learned",
	ConfigurationKept:     "configuration_kept",
	ConfigurationOutdated: "configuration_outdated",

	LogDown:     "log_down",
	LogUp:       "log_up",
	VMListDown:  "vm_list_down",
	VMListUp:    "vm_list_up",
	VMLeaving:   "vm_leaving",
	VMListed:    "vm_listed",
	LogTrimmed:  "log_trimmed",
	CacheMissed: "cache_missed",
	VMJoined:    "vm_joined",
	VMChanged:   "vm_changed",
	VMGone:      "vm_gone",
	VMKept:      "vm_kept",

	AgentUnreached:       "agent_unreached",
	DependencyLost:       "dependency_lost",
	DependencyBack:       "dependency_back",
	CallFailed:           "call_failed",
	VMReturned:           "vm_returned",
	PeerFound:            "peer_found",
	PeerLost:             "peer_lost",
	EndpointLimited:      "endpoint_limited",
	StoreRestored:        "store_restored",
	RegistrationOutdated: "registration_outdated",
	EndpointLeaving:      "endpoint_leaving",
	EndpointBackoff:      "endpoint_backoff",
	EndpointBackoffEnded: "endpoint_backoff_ended",
	VersionDoubted:       "version_doubted",
	StreamContinued:      "stream_continued",

	LeaseTaken:   "lease_taken",
	OrderIssued:  "order_issued",
	OrderDone:    "order_done",
	OrderFailed:  "order_failed",
	OrderSent:    "order_sent",
	OrderRefused: "order_refused",

	RolloutOrdered:   "rollout_ordered",
	RolloutRefused:   "rollout_refused",
	RolloutWithdrawn: "rollout_withdrawn",
	RolloutStepped:   "rollout_stepped",
	RolloutJudged:    "rollout_judged",
	RolloutWritten:   "rollout_written",
	RolloutConflict:  "rollout_conflict",
	ExposureRefused:  "exposure_refused",
	RolloutAnswerBad: "rollout_answer_bad",
}

// failureKinds are the kinds that report a failure.
var failureKinds = map[Kind]bool{
	RequestShed:          true,
	AnswerCut:            true,
	OutcomeUnknown:       true,
	EngineFailed:         true,
	EndpointDied:         true,
	AnswerEndUnproven:    true,
	KeyUndecided:         true,
	ConfigurationRefused: true,
	SettingsRefused:      true,
	SettingsInvalid:      true,
	LogDown:              true,
	VMListDown:           true,
	LogTrimmed:           true,
	DependencyLost:       true,
	OrderFailed:          true,
	OrderRefused:         true,
	RolloutRefused:       true,
}

// IsFailure reports whether events of this kind report a failure.
func (k Kind) IsFailure() bool {
	return failureKinds[k]
}

// Kinds returns every defined kind in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(kindNames))
	for kind := range kindNames {
		kinds = append(kinds, kind)
	}
	return kinds
}

// String returns the kind's name in snake case.
func (k Kind) String() string {
	name, ok := kindNames[k]
	if !ok {
		return fmt.Sprintf("kind_%d", int(k))
	}
	return name
}
