package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The bounds of the settings, and the load.
const (
	budgetRatio  = 0.2
	budgetSlack  = 52
	budgetWindow = 10 * time.Second

	// requestInterval is the time between two requests of all clients together.
	requestInterval = 33 * time.Millisecond
	// shedShare is the share of the requests that all replicas reject from shedFrom on, for shedFor; the gateways are killed at
	// killAt, all at once.
	shedShare = 0.45
	shedFrom  = 11 * time.Second
	shedFor   = 13 * time.Second
	killAt    = 15 * time.Second
	loadTime  = 26 * time.Second
)

// runRetriesAfterKill sends bookings at a steady rate while all replicas of their service reject part of what they get, and kills
// all gateways meanwhile.
func runRetriesAfterKill(f *fleet, trouble bool) (bool, error) {
	for range 6 {
		if _, err := f.addReplica("app"); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() { f.sendBookings(ctx, &group) })
	time.Sleep(shedFrom - time.Since(began))
	f.setShed(shedShare)
	time.Sleep(killAt - time.Since(began))
	if trouble {
		f.record.printf("all gateways are killed")
		for _, g := range f.gateways {
			g.kill()
		}
		if err := f.startGateways(); err != nil {
			return false, err
		}
		f.record.printf("all gateways are ready again")
	}
	time.Sleep(shedFrom + shedFor - time.Since(began))
	f.setShed(0)
	group.Wait()
	return f.judgeRetries(), nil
}

// sendBookings sends a booking each requestInterval, at the gateways in turn.
func (f *fleet) sendBookings(ctx context.Context, group *sync.WaitGroup) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		group.Go(func() {
			f.send(f.gateways[i%len(f.gateways)], request{"POST", fmt.Sprintf("/book/%d", i), "a booking", "", ""})
		})
	}
}

// setShed makes all replicas reject a share of what they get from now on.
func (f *fleet) setShed(share float64) {
	f.record.printf("replicas reject %.2f of their requests", share)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		r.mu.Lock()
		r.shed = share
		r.mu.Unlock()
	}
}

// judgeRetries reports whether the service got more arrivals beyond the first of each request in a window than the budget allows.
func (f *fleet) judgeRetries() bool {
	arrivals := f.arrivalsOf("/book/")
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range arrivals {
		if seen[a.attempt] {
			repeats = append(repeats, a.at)
		}
		seen[a.attempt] = true
	}
	f.mu.Lock()
	var requests []time.Time
	for _, at := range f.sent {
		requests = append(requests, at)
	}
	f.mu.Unlock()
	broken, most, report := false, 0, "no request was sent again"
	for _, from := range repeats {
		count := countIn(repeats, from, from.Add(budgetWindow))
		// The requests are those of this window, the one before or the one half a window before, whichever has most.
		sent := 0
		for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			sent = max(sent, countIn(requests, from.Add(-back), from.Add(budgetWindow-back)))
		}
		allowed := budgetRatio*float64(sent) + budgetSlack
		broken = broken || float64(count) > allowed
		if count > most {
			most = count
			report = fmt.Sprintf("in the 10 s from %.3f on, %d arrivals beyond the first of their request, for %d requests; %.0f are allowed", from.Sub(f.record.began).Seconds(), count, sent, allowed)
		}
	}
	f.record.printf("%s", report)
	return broken
}

// countIn returns how many times lie in a window.
func countIn(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
