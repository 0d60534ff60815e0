package acaciaschedule

import "time"

// organisationUse is what an organisation recently used of a service, in seconds of its share.
type organisationUse struct {
	seconds float64
	// asOf is when seconds was last brought up to date.
	asOf time.Time
	// level is the recent use in steps of fairnessStep when the queue was last sorted.
	level int
}

// at returns the recent use less what the share has allowed since.
func (u *organisationUse) at(now time.Time) float64 {
	if u.seconds == 0 {
		return 0
	}
	return max(0, u.seconds-now.Sub(u.asOf).Seconds())
}

// add adds a use.
func (u *organisationUse) add(seconds float64, now time.Time) {
	u.seconds, u.asOf = u.at(now)+seconds, now
}

// recentUseOf returns the recent use of an organisation.
func (svc *service) recentUseOf(organisation string) *organisationUse {
	use := svc.recentUse[organisation]
	if use == nil {
		use = &organisationUse{}
		svc.recentUse[organisation] = use
	}
	return use
}
