package acaciaschedule

import (
	"slices"
	"time"
)

// Load pattern: hundreds of requests wait for hundreds of endpoints, of which only the few least busy come into
// question for any of them.

type (
	// floors orders the endpoints of a service by the least that any request costs there, for one pass.
	floors struct {
		// open holds endpoints with free slots, occupied those without.
		open     floorOrder
		occupied floorOrder
		// apart holds the places in the options of all endpoints that have no floor.
		apart []int
		// maxApart is the number of endpoints in apart at which the floors are made anew.
		maxApart int
		// awaiting holds, by place in the options, how many waiting requests the endpoint's floor
		// counts on; noFloor if it has none.
		awaiting []int
	}

	// floorOrder puts endpoints in the order of their floors, only as many as requests look at.
	floorOrder struct {
		// ordered holds the first endpoints in order, heap the others.
		ordered []floor
		heap    []floor
	}

	// floor is the least that any request costs at an endpoint.
	floor struct {
		cost time.Duration
		// index is the place in the options of the service.
		index int
	}
)

const (
	// floorsAfter is the number of endpoints that a pass has passed over when it puts them in order: for a
	// few requests, or endpoints, that costs more than it saves.
	floorsAfter = 4096
	// floorSlack is how many requests fewer than now may wait for an endpoint until its floor is void, as a
	// divisor of their number.
	floorSlack = 4
	// moreApart is by how many the endpoints without a floor may grow in number.
	moreApart = 64
	noFloor   = -1
)

// newFloors returns the floors of the endpoints. Those that depend on the time are kept apart.
func (p *pass) newFloors() *floors {
	options := p.service.options
	f := &p.service.floors
	f.open.reset()
	f.occupied.reset()
	f.apart = f.apart[:0]
	f.awaiting = slices.Grow(f.awaiting[:0], len(options))[:len(options)]
	anyRequest := leastCost{service: p.service, known: true}
	for i := range options {
		o := &options[i]
		f.awaiting[i] = noFloor
		if !o.steady {
			f.apart = append(f.apart, i)
			continue
		}
		isOpen := o.open > 0
		if !isOpen && o.inOtherRegion {
			continue
		}
		// The request itself may be one of those that wait there.
		others := o.endpoint.awaiting + o.endpoint.peerLoad.Awaiting - 1
		f.awaiting[i] = max(0, others-1-others/floorSlack)
		order := &f.occupied
		if isOpen {
			order = &f.open
		}
		order.heap = append(order.heap, floor{anyRequest.at(o, f.awaiting[i], isOpen, 0), i})
	}
	f.maxApart = len(f.apart) + moreApart
	f.open.init()
	f.occupied.init()
	return f
}

// reset empties the order and keeps its memory.
func (f *floorOrder) reset() {
	f.ordered, f.heap = f.ordered[:0], f.heap[:0]
}

func (f *floorOrder) init() {
	for i := len(f.heap)/2 - 1; i >= 0; i-- {
		f.siftDown(i)
	}
}

// at returns the floor at a place in the order, and false after the last one.
func (f *floorOrder) at(place int) (floor, bool) {
	if place < len(f.ordered) {
		return f.ordered[place], true
	}
	if len(f.heap) == 0 {
		return floor{}, false
	}
	lowest, last := f.heap[0], len(f.heap)-1
	f.heap[0] = f.heap[last]
	f.heap = f.heap[:last]
	f.siftDown(0)
	f.ordered = append(f.ordered, lowest)
	return lowest, true
}

func (f *floorOrder) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(f.heap) {
			return
		}
		if child+1 < len(f.heap) && f.heap[child+1].cost < f.heap[child].cost {
			child++
		}
		if f.heap[i].cost <= f.heap[child].cost {
			return
		}
		f.heap[i], f.heap[child] = f.heap[child], f.heap[i]
		i = child
	}
}

// check puts an endpoint apart if fewer requests wait for it than its floor counts on.
func (f *floors) check(e *endpoint) {
	counted := f.awaiting[e.index]
	if counted == noFloor || e.awaiting+e.peerLoad.Awaiting-1 >= counted {
		return
	}
	f.setApart(e.index)
}

// setApart takes the floor from the endpoint at a place in the options.
func (f *floors) setApart(index int) {
	if f.awaiting[index] != noFloor {
		f.awaiting[index] = noFloor
		f.apart = append(f.apart, index)
	}
}

// await sets the endpoint whose slot the request waits for; nil for any.
func (p *pass) await(request *Request, e *endpoint) {
	before := request.awaited
	request.await(e)
	if p.floors == nil || before == nil || before.removed {
		return
	}
	p.floors.check(before)
	p.limitApart()
}

// limitApart makes the floors be made anew once too many endpoints have none.
func (p *pass) limitApart() {
	if len(p.floors.apart) > p.floors.maxApart {
		p.floors = nil
	}
}
