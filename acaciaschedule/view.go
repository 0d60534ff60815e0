package acaciaschedule

import (
	"maps"
	"slices"
	"time"
)

// view is a copy of what decisions on the requests of one service read and change, so that the code that decides
// on real requests can be run without an effect on them. What only assignments of slots change is shared with
// the scheduler: no request of a view may be assigned one.
type view struct {
	scheduler *Scheduler
	service   *service
	// loadAges holds the age of the oldest report that tells of requests at an endpoint.
	loadAges map[*endpoint]time.Duration
}

// newView returns a view of a service. It takes time in proportion to the numbers of its endpoints, of its waiting
// requests and of the other processes.
func (s *Scheduler) newView(name string, now time.Time) *view {
	scheduler := *s
	v := &view{scheduler: &scheduler, loadAges: map[*endpoint]time.Duration{}}
	scheduler.settings.Random = func() float64 { return 0 }
	scheduler.services, scheduler.sentPrompts = map[string]*service{}, nil
	scheduler.endpointsByID, scheduler.endpointsByKey = map[string]*endpoint{}, map[EndpointKey]*endpoint{}
	scheduler.serviceByEndpointID = map[string]*service{}
	v.service = scheduler.getOrCreateService(name)
	if original := s.services[name]; original != nil {
		v.copyService(original)
	}
	v.copyReports(s, now)
	scheduler.expireReports(now)
	v.findLoadAges(s, now)
	return v
}

// copyService copies a service with its endpoints and waiting requests.
func (v *view) copyService(original *service) {
	svc := v.service
	*svc = *original
	svc.scheduler, svc.optionsStale, svc.options, svc.floors = v.scheduler, true, nil, floors{}
	svc.sums, svc.endpoints, svc.sorted = endpointSums{}, map[string]*endpoint{}, make([]*endpoint, len(original.sorted))
	svc.ownRanks.counts, svc.peerRanks.counts = slices.Clone(original.ownRanks.counts), slices.Clone(original.peerRanks.counts)
	svc.peerSizes.ranks = slices.Clone(original.peerSizes.ranks)
	svc.peerQueues, svc.regionWaiting = maps.Clone(original.peerQueues), maps.Clone(original.regionWaiting)
	for i, e := range original.sorted {
		endpointCopy := *e
		endpointCopy.service, endpointCopy.counted = svc, contribution{}
		endpointCopy.pace.peers = maps.Clone(e.pace.peers)
		svc.sorted[i] = &endpointCopy
		id := e.info.ID
		svc.endpoints[id], v.scheduler.endpointsByID[id], v.scheduler.serviceByEndpointID[id] = &endpointCopy, &endpointCopy, svc
		v.scheduler.endpointsByKey[KeyOf(id)] = &endpointCopy
		endpointCopy.recountLater()
	}
	svc.shares.classes = map[string]*classTime{}
	for class, used := range original.shares.classes {
		classCopy := *used
		svc.shares.classes[class] = &classCopy
	}
	svc.sizes = original.sizes.clone()
	v.copyWaiting(original)
}

// copyWaiting copies the waiting requests of a service, with the recent use of their organisations.
func (v *view) copyWaiting(original *service) {
	svc := v.service
	svc.recentUse = map[string]*organisationUse{}
	svc.waiting = make([]*Request, len(original.waiting))
	for i, request := range original.waiting {
		requestCopy := *request
		requestCopy.service, requestCopy.slotTime = svc, svc.shares.classTime(request.Class)
		requestCopy.recentUse = v.copyUse(original, request.Organisation)
		requestCopy.awaited = nil
		if request.awaited != nil {
			requestCopy.awaited = svc.endpoints[request.awaited.info.ID]
		}
		svc.waiting[i] = &requestCopy
	}
}

// copyUse returns a copy of what an organisation recently used of a service.
func (v *view) copyUse(original *service, organisation string) *organisationUse {
	use := original.recentUse[organisation]
	if use == nil || v.service.recentUse[organisation] != nil {
		return v.service.recentUseOf(organisation)
	}
	useCopy := *use
	v.service.recentUse[organisation] = &useCopy
	return &useCopy
}

// copyReports copies what other processes have last reported, their loads and recoveries only as far as
// expireReports changes them.
func (v *view) copyReports(s *Scheduler, now time.Time) {
	scheduler := v.scheduler
	scheduler.lastReports = maps.Clone(s.lastReports)
	scheduler.droppedAt = maps.Clone(s.droppedAt)
	scheduler.peerRecoveries = maps.Clone(s.peerRecoveries)
	scheduler.peerLoads = map[string]map[EndpointKey]peerLoad{}
	for process, reportedAt := range s.lastReports {
		if now.Sub(reportedAt) < reportLifetime {
			continue
		}
		expired := map[EndpointKey]peerLoad{}
		for key, load := range s.peerLoads[process] {
			if e := scheduler.endpointsByKey[key]; e != nil && load.endpoint == s.endpointsByKey[key] {
				expired[key] = peerLoad{e, load.EndpointLoad}
			}
		}
		scheduler.peerLoads[process] = expired
	}
}

// findLoadAges sets loadAges. It goes through the processes from the one with the oldest report on, until all endpoints
// with load of others have their age: there are hundreds of processes, of which each puts load on hundreds of endpoints.
func (v *view) findLoadAges(s *Scheduler, now time.Time) {
	left := map[EndpointKey]*endpoint{}
	for key, e := range v.scheduler.endpointsByKey {
		if e.peerLoad != (EndpointLoad{}) {
			left[key] = e
		}
	}
	processes := slices.SortedFunc(maps.Keys(v.scheduler.lastReports), func(a, b string) int { return s.lastReports[a].Compare(s.lastReports[b]) })
	for _, process := range processes {
		if len(left) == 0 {
			return
		}
		age, loads := now.Sub(s.lastReports[process]), s.peerLoads[process]
		find := func(key EndpointKey) {
			load := loads[key]
			if e := left[key]; e != nil && load.endpoint == s.endpointsByKey[key] && load.EndpointLoad != (EndpointLoad{}) {
				v.loadAges[e] = age
				delete(left, key)
			}
		}
		if len(loads) < len(left) {
			for key := range loads {
				find(key)
			}
			continue
		}
		for key := range left {
			find(key)
		}
	}
}

// enqueue adds a request to the queue of the view as Enqueue does, and returns a pass that has come to it. The
// requests before it are taken to go on waiting as they do now; those that wait for a free slot each take one.
func (v *view) enqueue(original *service, request *Request, now time.Time) *pass {
	if original != nil {
		v.copyUse(original, request.Organisation)
	}
	v.scheduler.Enqueue(request)
	v.scheduler.sortWaiting(v.service, now)
	p := v.scheduler.newPass(v.service, now)
	for _, other := range v.service.waiting {
		if other == request {
			break
		}
		p.keep(other)
		if !other.unplaceable {
			p.blocked++
		}
	}
	p.remaining = len(v.service.waiting) - p.kept
	return p
}
