package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// The case options: requests on targets that no route has. With trouble the target is the one of RFC 9110, 9.3.7.

const (
	optionsRequests = 10
	optionsPause    = 200 * time.Millisecond
)

func playOptions(b *bed) (broken int, err error) {
	r, err := b.newReplica("i-1", "booking-app", 6, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		b.note("i-1 has run %s: %s %s", q.Header.Get("Attempt-Id"), q.Method, q.RequestURI)
		_, _ = fmt.Fprint(w, "schedule")
	})
	if err != nil {
		return 0, err
	}
	defer r.close()
	if err := b.startGateways(2); err != nil {
		return 0, err
	}
	target := "/never-existed/"
	if b.trouble {
		target = "*"
	}
	successes := 0
	for i := range 2 * optionsRequests {
		method, target := http.MethodOptions, target
		if i%2 == 0 {
			method, target = http.MethodGet, "/schedule-read/"
		}
		g := b.gateways[rand.IntN(len(b.gateways))]
		id := fmt.Sprintf("%016x", rand.Uint64())
		b.note("sent %s: %s %s to %s", id, method, target, g.name)
		a := request(g.address(), method, target, id, "")
		b.note("answered %s: %d, Response-Seal %q, body %q, error %v; runs %d", id, a.status, a.seal, a.body, a.err, r.count(id))
		if a.status/100 != 2 {
			time.Sleep(optionsPause)
			continue
		}
		if a.seal == "" {
			b.note("BROKEN: %s got a success without Response-Seal", id)
			broken++
			continue
		}
		successes++
	}
	if successes == 0 {
		return 0, fmt.Errorf("no ordinary request was served")
	}
	return broken, nil
}
