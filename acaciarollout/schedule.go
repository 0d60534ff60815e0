package acaciarollout

import (
	"math"
	"time"
)

// Load pattern: an order of 12 to 30 s must be decided by a small sample of the requests, and a good version
// must have all of them early enough that what runs on the old one ends before the deadline.

const (
	// exposureMargin is the part of ExposeShare that is used. The rest covers requests that this process
	// counts as sent and an endpoint never sees.
	exposureMargin = 0.95
	// minWholeShare and maxWholeShare bound the part of the duration after which the target gets all
	// requests, maxWholeShare also if nothing runs long: what turns bad then can still be rolled back.
	minWholeShare = 0.55
	maxWholeShare = 0.8
	// canaryShare is the part of the time until the target gets all requests in which its exposure
	// stays at ExposeShare.
	canaryShare = 0.75
	// completionMargin is kept between the end of the longest request and the deadline, for the messages
	// and the writes of the verdict.
	completionMargin = time.Second
	// completeShare is the part of the duration before which nothing is completed, because a completed
	// order can't be rolled back any more.
	completeShare = 0.8
	// minGrowthAnswers is the number of the target's answers, without the endpoint that has given most,
	// without which its exposure doesn't grow, also if its time has come: all processes may have started
	// again. Of five answers of a version that gives 0.3 bad ones, one is bad in five of six cases.
	minGrowthAnswers = 5
	// minComparedEndpoints is the least number of endpoints of the target that get requests in the step before all go
	// there, and that are kept from one step to the next. A single one decides nothing: the evidence without the
	// worst endpoint would stay that of the canary phase.
	minComparedEndpoints = 2
	// fitSlack is the part of ExposureSlack that counts when the target's requests until the deadline are
	// estimated; the rest covers bursts.
	fitSlack = 0.8
	// minObservation is how long the target must have had all requests at the last moment: versions that are
	// bad under load show it only then if all processes have started again shortly before.
	minObservation = time.Second
	// rotations is the number of groups of endpoints that are exposed one after the other in the canary
	// phase, so that a verdict doesn't depend on a single group. With up to four old endpoints, which are exposed in
	// pulses, there may be fewer. With two for four endpoints, 16 of 100 good versions were rolled back for a
	// grey endpoint on each side, with three 4.
	rotations       = 4
	minRotations    = 2
	minRotationTime = time.Second
	maxRotationTime = 5 * time.Second
	// pulseTime is how long a pulse should last. A fault under load shows only when the load has been there for a
	// while: with pulses of 0.3 to 1.4 s, 28 of 100 such versions of three endpoints exceed their bound, with this time 14.
	pulseTime = 2 * time.Second
)

// growth holds the share of requests of each step after the canary phase.
var growth = []float64{0.25, 0.5, 1}

// stepWhole is the step from which the target gets all requests.
var stepWhole = len(growth)

// wholeBy returns the age by which the target should get all requests, for requests that may run
// until a timeout.
func (o Order) wholeBy(timeout time.Duration) time.Duration {
	by := o.Duration - timeout - completionMargin
	return min(max(by, o.part(minWholeShare)), o.part(maxWholeShare))
}

func (o Order) part(share float64) time.Duration {
	return time.Duration(share * float64(o.Duration))
}

// canaryEnd returns the age until which the exposure stays at its share.
func (o Order) canaryEnd(timeout time.Duration) time.Duration {
	return time.Duration(canaryShare * float64(o.wholeBy(timeout)))
}

// stepTimes returns the ages from which a step may be taken, and at which it is taken without enough evidence
// unless the evidence speaks against the target.
func (o Order) stepTimes(step int, timeout time.Duration) (earliest, latest time.Duration) {
	canaryEnd := o.canaryEnd(timeout)
	gap := (o.wholeBy(timeout) - canaryEnd) / time.Duration(stepWhole)
	earliest = canaryEnd + time.Duration(step-1)*gap
	return earliest, earliest + gap
}

// share returns the share of requests that the target may get in a step.
func (s Settings) share(step int) float64 {
	if step == 0 {
		return s.ExposeShare * exposureMargin
	}
	return max(growth[step-1], s.ExposeShare*exposureMargin)
}

// concentration returns how many endpoints of the target get requests in a step, so that each gets as much as one
// of the old ones before the order, and the first of them at an age; zero for all. If each got as much as an
// old one gets beside them, it would have half of its later load when half of the requests go to the target, and what
// shows only at a higher load would show only when all go there. The steps after the canary phase add endpoints to those
// of its last group, if there are several: others would take a while to be as loaded.
func (o Order) concentration(settings Settings, step, old, target int, age, timeout time.Duration) (count, first int) {
	share := settings.share(step)
	if share >= 1 || target == 0 {
		return 0, 0
	}
	count = endpointsFor(share, old)
	if step == stepWhole-1 {
		count = max(count, minComparedEndpoints)
	}
	if count >= target {
		return 0, 0
	}
	if step > 0 && count >= minComparedEndpoints {
		age = min(age, o.canaryEnd(timeout)-1)
	}
	group := int(age / o.rotationTime(settings, old, timeout))
	return count, group * endpointsFor(settings.share(0), old) % target
}

// endpointsFor returns how many endpoints a share of requests loads as much as all requests load a number of them.
func endpointsFor(share float64, old int) int {
	return max(int(math.Round(share*float64(old))), 1)
}

// duty returns the part of the canary phase in which the target is exposed: its share of requests is as much as one of the
// old endpoints got before the order, or is saved up to be.
func (s Settings) duty(old int) float64 {
	return min(s.share(0)*float64(max(old, 1)), 1)
}

// rotationTime returns how long a group of endpoints is exposed, with the pause before it if the target isn't exposed
// all the time.
func (o Order) rotationTime(settings Settings, old int, timeout time.Duration) time.Duration {
	groups, longest := rotations, maxRotationTime
	if duty := settings.duty(old); duty < 1 {
		period := time.Duration(float64(pulseTime) / duty)
		groups = min(max(int(o.canaryEnd(timeout)/period), old-1, minRotations), rotations)
		longest = max(longest, period)
	}
	return min(max(o.canaryEnd(timeout)/time.Duration(groups), minRotationTime), longest)
}

// pulse returns when the target is exposed in the canary phase if its share of requests is less than one
// of the old endpoints got before the order: the share is saved up, then used at once, so that the endpoint is as
// loaded as an old one for a while. number is that of the pulse at an age, zero between two, and share is the
// target's share of the requests in it.
func (o Order) pulse(settings Settings, old int, age, timeout time.Duration) (number int64, shareInPulse float64) {
	duty, period := settings.duty(old), o.rotationTime(settings, old, timeout)
	if float64(age%period) < (1-duty)*float64(period) {
		return 0, 0
	}
	return int64(age/period) + 1, settings.share(0) / duty
}
