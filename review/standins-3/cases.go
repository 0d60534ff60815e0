package main

import (
	"fmt"
	"sync"
	"time"
)

// cases maps the names of cases to how many gateways they need and what they do.
var cases = map[string]struct {
	gateways int
	run      caseRun
}{
	"late-poison":        {2, runLatePoison},
	"poison-after-kill":  {4, runPoisonAfterKill},
	"poison-own-part":    {2, runPoisonOwnPart},
	"retries-after-kill": {3, runRetriesAfterKill},
}

const (
	stableWindow = 4 * time.Second
	// mostRetries is how often a request that crashes replicas may reach one after the stable window.
	mostRetries = 3
	// lateEvents is after how many events the request of late-poison crashes a replica.
	lateEvents = 4
	// repeatTime is how long the request comes again, repeatPause the pause before it does.
	repeatTime  = 40 * time.Second
	repeatPause = 2 * time.Second
	// poisonRounds is how often poison-after-kill sends the request everywhere; the gateways are killed in between.
	poisonRounds = 3
)

// runLatePoison sends ordinary streams that share the first part of their prompts, and again and again one request with
// the same first part that crashes each replica after some events.
func runLatePoison(f *fleet, trouble bool) (bool, error) {
	if err := f.startWithPoison(4, lateEvents, trouble); err != nil {
		return false, err
	}
	f.repeatPoison(func(int) request {
		return request{"POST", "/draft/poison", "the same body", "5c1e07a2:200,0badf00d:300", "500,100"}
	})
	return f.judgePoison(trouble), nil
}

// runPoisonOwnPart sends ordinary streams that share the first part of their prompts, and again and again one request with the
// same path, caller and body that crashes each replica that begins to run it. The last part of its prompt belongs to each
// attempt itself.
func runPoisonOwnPart(f *fleet, trouble bool) (bool, error) {
	if err := f.startWithPoison(4, 0, trouble); err != nil {
		return false, err
	}
	f.repeatPoison(func(i int) request {
		return request{"POST", "/draft/poison", "the same body", fmt.Sprintf("5c1e07a2:200,%08x:300", 0x0badf000+i), "500,100"}
	})
	return f.judgePoison(trouble), nil
}

// repeatPoison sends requests that crash replicas at the gateways in turn, each followed by an ordinary one.
func (f *fleet) repeatPoison(poison func(i int) request) {
	began := time.Now()
	for i := 0; time.Since(began) < repeatTime; i++ {
		g := f.gateways[i%len(f.gateways)]
		f.send(g, poison(i))
		f.send(g, ordinary(100+i))
		time.Sleep(repeatPause)
	}
}

// startWithPoison starts replicas, which a path with the word poison crashes after some events, and the gateways, and sends
// some ordinary streams.
func (f *fleet) startWithPoison(replicas, events int, trouble bool) error {
	for range replicas {
		r, err := f.addReplica("llm")
		if err != nil {
			return err
		}
		if trouble {
			r.poison, r.poisonEvents = "poison", events
		}
	}
	if err := f.startGateways(); err != nil {
		return err
	}
	for i := range 6 {
		if a := f.send(f.gateways[i%len(f.gateways)], ordinary(i)); a.status != 200 || a.err != nil {
			return fmt.Errorf("an ordinary stream failed before the disruption: %v", a)
		}
	}
	return nil
}

// ordinary returns an ordinary stream's request. All share the first part of their prompts.
func ordinary(i int) request {
	return request{"POST", fmt.Sprintf("/draft/ordinary-%d", i), fmt.Sprint("body ", i), fmt.Sprintf("5c1e07a2:200,%08x:300", 0x1000+i), "500,100"}
}

// judgePoison reports whether a request that crashes replicas has reached them in more than three retries later than the stable
// window after it has crashed the third. All gateways that sent it then have been in touch.
func (f *fleet) judgePoison(trouble bool) bool {
	arrivals, crashes := f.arrivalsOf("poison"), f.crashTimes()
	f.record.printf("the request reached replicas %d times and crashed %d", len(arrivals), len(crashes))
	if !trouble || len(crashes) < 3 {
		return false
	}
	late := 0
	for _, a := range arrivals {
		if a.at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	f.record.printf("%d times later than %s after the third crash; %d are allowed", late, stableWindow, mostRetries)
	return late > mostRetries
}

// runPoisonAfterKill sends a request that crashes each replica that begins to run it to four gateways, and once more, kills all
// gateways, and sends it again when they have been in touch.
func runPoisonAfterKill(f *fleet, trouble bool) (bool, error) {
	// The requests crash replicas also without the disruption, which is the end of the gateways.
	if err := f.startWithPoison(9, 0, true); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	poison := request{"POST", "/draft/poison", "the same body", "", ""}
	for round := range poisonRounds {
		f.sendEverywhere(poison)
		time.Sleep(time.Second)
		f.send(f.gateways[0], poison)
		f.send(f.gateways[1], poison)
		if trouble && round < poisonRounds-1 {
			f.record.printf("all gateways are killed")
			for _, g := range f.gateways {
				g.kill()
			}
			if err := f.startGateways(); err != nil {
				return false, err
			}
			f.record.printf("all gateways are ready again")
		}
		time.Sleep(stableWindow + 2*time.Second)
	}
	return f.judgePoison(true), nil
}

// sendEverywhere sends a request to all gateways, at the next one before the last one's run has crashed its replica.
func (f *fleet) sendEverywhere(r request) {
	var group sync.WaitGroup
	for _, g := range f.gateways {
		group.Go(func() { f.send(g, r) })
		time.Sleep(workTime / 5)
	}
	group.Wait()
}
