package acaciaschedule

import (
	"slices"
	"time"
)

// Load pattern: endpoints of a new software version are started beside the old ones, and a small share of
// the requests shows whether it is good. Spread over all new endpoints they would leave each almost
// idle, and a version that is bad under load would look good.

type (
	// Side says on which side of a rollout a request may run.
	Side int

	// VersionChoice says which software versions may get a request while its service is moved to
	// the version Target. The zero value allows all.
	VersionChoice struct {
		Target string
		Side   Side
		// Canary reports whether the request, whose side is the old one, first takes a slot that is
		// free now at one of Concentrate endpoints of the target, of all if that is zero. They are
		// those from First on, modulo their number, in the order of their IDs.
		Canary             bool
		Concentrate, First int
		// Banned reports whether the target was found bad: not even the rests of its streams may go
		// there as long as another version has endpoints.
		Banned bool
		// Avoid holds further versions that get nothing as long as another one has endpoints.
		Avoid []string
	}
)

// The sides of a rollout.
const (
	SideAny Side = iota
	// SideOld stands for all versions but the target.
	SideOld
	SideTarget
)

// allows reports whether an endpoint is on the side that the choice names. One whose version is in
// doubt is on neither.
func (c *VersionChoice) allows(e *endpoint) bool {
	if slices.Contains(c.Avoid, e.registeredVersion) {
		return false
	}
	switch c.Side {
	case SideTarget:
		return e.info.Version == c.Target
	case SideOld:
		return e.registeredVersion != c.Target && !e.versionDoubted()
	case SideAny:
	}
	return true
}

// bans reports whether the request is bound to a version that was found bad.
func (r *Request) bans() bool {
	return r.Choice.Banned && r.Choice.Side == SideOld && r.Version == r.Choice.Target || slices.Contains(r.Choice.Avoid, r.Version)
}

// chooseCanary returns the option with a free slot that is best for a canary, nil if there is none or the
// request isn't one. After that the request is one for the old side.
func (p *pass) chooseCanary(request *Request) *option {
	if !request.Choice.Canary {
		return nil
	}
	request.Choice.Canary = false
	if request.VersionBound {
		return nil
	}
	request.Choice.Side = SideTarget
	request.canaryEndpoints = p.scheduler.canaryEndpoints(p.service, request.Choice)
	chosen, _ := p.chooseEndpoint(request, false)
	request.Choice.Side, request.canaryEndpoints = SideOld, nil
	return chosen
}

// canaryEndpoints returns the IDs of the endpoints on which canaries are concentrated. All processes of
// a region choose the same ones, in their own region as long as the target has endpoints there:
// answers from elsewhere arrive later, which would be taken for slowness.
func (s *Scheduler) canaryEndpoints(svc *service, choice VersionChoice) []string {
	var near, far []string
	for _, e := range svc.sorted {
		switch id := e.info.ID; {
		case !choice.allows(e) || !e.usable():
		case s.inOtherRegion(e):
			far = append(far, id)
		default:
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if choice.Concentrate == 0 || choice.Concentrate >= len(near) {
		return near
	}
	chosen := make([]string, choice.Concentrate)
	for i := range chosen {
		chosen[i] = near[(choice.First+i)%len(near)]
	}
	return chosen
}

// relaxChoice lifts the restriction of a request to the old side if the target was found bad but no
// other version has endpoints, and to the target if that has none; and that to avoid versions if
// nothing else has endpoints.
func (svc *service) relaxChoice(request *Request) {
	choice := &request.Choice
	if len(choice.Avoid) > 0 && !svc.allowsAny(choice) {
		choice.Avoid = nil
	}
	if choice.Side == SideAny || choice.Side == SideOld && !choice.Banned {
		return
	}
	old, target := svc.countSides(choice.Target)
	if choice.Side == SideOld && old == 0 || choice.Side == SideTarget && target == 0 {
		*choice = VersionChoice{}
	}
}

// allowsAny reports whether the choice allows any endpoint that isn't draining.
func (svc *service) allowsAny(choice *VersionChoice) bool {
	for _, e := range svc.endpoints {
		if e.usable() && choice.allows(e) {
			return true
		}
	}
	return false
}

// CountVersions returns how many endpoints of each version of a service get requests.
func (s *Scheduler) CountVersions(name string) map[string]int {
	counts := map[string]int{}
	if svc := s.services[name]; svc != nil {
		for _, e := range svc.endpoints {
			if e.usable() {
				counts[e.registeredVersion]++
			}
		}
	}
	return counts
}

// PredictFirstByte returns the time to the first byte that is usual for the service at the load of the
// endpoint where a request was placed, however slow that endpoint has been so far.
func (s *Scheduler) PredictFirstByte(request *Request) time.Duration {
	seconds := request.service.firstByteModel.predictSeconds(float64(request.prefillTokens)) * (1 + loadPenalty*request.occupancy)
	return time.Duration(seconds * float64(time.Second))
}

// countSides returns the numbers of endpoints on either side that aren't draining.
func (svc *service) countSides(targetVersion string) (old, target int) {
	for _, e := range svc.endpoints {
		switch {
		case !e.usable():
		case e.registeredVersion == targetVersion:
			target++
		default:
			old++
		}
	}
	return old, target
}

// InOtherRegion reports whether an endpoint is known and in another region than this process.
func (s *Scheduler) InOtherRegion(id string) bool {
	e := s.endpointsByID[id]
	return e != nil && s.inOtherRegion(e)
}
