package acaciarollout

import "time"

type (
	// rollout is the state of one order.
	rollout struct {
		order Order
		// seen is when this process learned of the order, orderedAt when it was given, as far as this
		// process knows.
		seen, orderedAt time.Time
		// known reports whether the state of the order is known: whether it has begun, and its age.
		known bool
		// confirmed reports whether this process has read the order in the store itself.
		confirmed bool
		// serving reports whether the target is the version that served when the order came.
		serving bool
		// onlyTargetSince is when the target's endpoints were first seen to be the only ones, if no
		// others have been seen since the order.
		onlyTargetSince time.Time
		// oldVersions holds the versions other than the target that have had endpoints.
		oldVersions map[string]bool

		step   int
		stepAt time.Time
		// bad reports whether the evidence of any process has shown the target to be bad. It is final.
		bad bool
		// stored is the verdict that the store holds.
		stored State
		reason string
		// began is the position of the status record that says that the order runs, in its era.
		// supersededAt is when another one after it was read, perhaps of a later order; zero if none was.
		began        Position
		supersededAt time.Time

		exposure  exposure
		transfers transfers
		evidence  *evidence
		judge     *judge
		// told holds what other processes have told.
		told map[Process]*toldOrder
	}
)

const (
	// servingDelay is how long the target's endpoints must be the only ones before the order counts as one for
	// the running version: the list may be read piece by piece.
	servingDelay = time.Second
	// maxReadDelay is how long after an order a process may learn of it that has run all the time.
	maxReadDelay = time.Second
)

func newRollout(order Order, age time.Duration, now time.Time) *rollout {
	r := &rollout{
		order: order, seen: now, orderedAt: now, oldVersions: map[string]bool{}, stepAt: now,
		transfers: newTransfers(), evidence: newEvidence(), judge: newJudge(), told: map[Process]*toldOrder{},
	}
	if age != AgeUnknown {
		r.orderedAt, r.known = now.Add(-age), true
	}
	return r
}

// age returns the time since the order.
func (r *rollout) age(now time.Time) time.Duration {
	return now.Sub(r.orderedAt)
}

// learnAge applies what another process or the store says of the order's age. The greatest counts, because
// messages only make an order look younger.
func (r *rollout) learnAge(age time.Duration, now time.Time) {
	if orderedAt := now.Add(-age); orderedAt.Before(r.orderedAt) {
		r.orderedAt = orderedAt
	}
}

// verdict returns the verdict of the order: the store's word before the evidence.
func (r *rollout) verdict() State {
	switch {
	case r.stored != StateNone:
		return r.stored
	case r.bad:
		return StateRolledBack
	}
	return StateNone
}

// isRestored reports whether an order is this one, read after the store was restored from a copy. An order
// that has ended is the same one only at the same offset: operators may order it again.
func (r *rollout) isRestored(order Order) bool {
	if order.ID.Era == r.order.ID.Era || order.Target != r.order.Target || order.Duration != r.order.Duration {
		return false
	}
	return r.verdict() == StateNone || order.ID.Offset == r.order.ID.Offset
}

// rename gives the order the ID that it has in a new era, in which nothing that was written holds.
func (r *rollout) rename(id OrderID) {
	r.order.ID = id
	r.began, r.supersededAt = Position{}, time.Time{}
}

// setVersions keeps which versions have endpoints while the order runs, and finds out whether the target is
// the running one.
func (r *rollout) setVersions(s *service, now time.Time) {
	for version, endpoints := range s.versions {
		if version != r.order.Target && endpoints > 0 && !s.unproven[version] {
			r.oldVersions[version] = true
		}
	}
	old, target := s.count(r.order.Target)
	switch {
	case old > 0 || target == 0 || len(r.oldVersions) > 0:
		r.onlyTargetSince = time.Time{}
	case r.onlyTargetSince.IsZero():
		r.onlyTargetSince = now
	}
}

// grow takes a step, and reports whether it is a new one.
func (r *rollout) grow(step int, now time.Time) bool {
	if step <= r.step || step > stepWhole {
		return false
	}
	r.step, r.stepAt = step, now
	r.exposure.beginStep()
	return true
}

// setBad sets the final verdict that the target is bad, and reports whether it is new.
func (r *rollout) setBad(reason string) bool {
	if r.bad || r.stored != StateNone {
		return false
	}
	r.bad, r.reason = true, reason
	return true
}

// setStored sets the verdict that the store holds, which is never replaced by another.
func (r *rollout) setStored(state State) bool {
	if r.stored != StateNone {
		return false
	}
	if r.verdict() != state {
		r.reason = "the store says " + state.String()
	}
	r.stored, r.known = state, true
	return true
}

// tick judges the evidence of an order and grows its exposure.
func (t *Table) tick(s *service, now time.Time) (changed bool) {
	r := s.rollout
	if r.verdict() != StateNone || !r.known {
		return false
	}
	r.setVersions(s, now)
	t.transferUnused(s, r, now)
	_, target := s.count(r.order.Target)
	if reason := r.judge.tick(r.evidence, target, now); reason != "" {
		return r.setBad(reason)
	}
	if r.isServing(now) {
		return r.grow(stepWhole, now)
	}
	if r.step == stepWhole || target == 0 || !t.inContact(now) {
		return false
	}
	return r.nextStep(t.settings, s.timeout, now)
}

// nextStep takes the next step if its time has come and the evidence allows it. A version that is still
// suspicious when it should have all requests is bad.
func (r *rollout) nextStep(settings Settings, timeout time.Duration, now time.Time) (changed bool) {
	age, next := r.age(now), r.step+1
	earliest, latest := r.order.stepTimes(next, timeout)
	pause := latest - earliest
	if age >= latest {
		pause /= 2
	}
	switch {
	case age >= r.order.Duration || r.step > 0 && now.Sub(r.stepAt) < pause:
		return false
	case age >= r.order.wholeBy(timeout) && r.judge.suspicious():
		return r.setBad("bad answers, though too few for certainty, when the target should have all requests")
	case r.judge.comparedAnswers() < minGrowthAnswers || next == stepWhole && !r.mayTakeAll(settings, now):
		return false
	case age >= earliest && r.judge.acceptable() || age >= latest && !r.judge.suspicious():
		return r.grow(next, now)
	}
	return false
}

// mayTakeAll reports whether the evidence is enough for the target to get all requests. With few requests it is if
// it speaks for the target at all: what the target would get until the deadline is within the bound anyway.
func (r *rollout) mayTakeAll(settings Settings, now time.Time) bool {
	return r.judge.acceptable() || r.judge.favourable() && r.fitsBound(settings, now)
}

// fitsBound reports whether the target would stay within the bound of a bad version if it got all requests from
// now on, at the rate at which they have come so far, as far as this process has heard. A process that has started
// in the middle takes them to have come in its own time: all may have started again, and their counts with them.
func (r *rollout) fitsBound(settings Settings, now time.Time) bool {
	all, target := r.exposure.all, r.exposure.target
	for _, told := range r.told {
		all, target = all+told.sentAll, target+told.sentTarget
	}
	counted := r.age(now)
	if r.seen.Sub(r.orderedAt) > maxReadDelay {
		counted = now.Sub(r.seen)
	}
	left := float64(all) * float64(r.order.Duration-r.age(now)) / float64(max(counted, 1))
	return float64(target)+left <= settings.ExposeShare*(float64(all)+left)+fitSlack*float64(settings.ExposureSlack)
}

// isServing reports whether the target is the version that served before the order.
func (r *rollout) isServing(now time.Time) bool {
	return r.serving || !r.onlyTargetSince.IsZero() && now.Sub(r.onlyTargetSince) >= servingDelay
}
