package acaciasystem

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// runCallers runs callers of every kind until a time and returns their results by kind.
func (c *cluster) runCallers(end time.Time) map[string][]requestResult {
	kinds := map[string]func(caller, index int) requestResult{
		"keyed":   func(caller, index int) requestResult { return c.sendUntilAnswered(caller, index, maxSoakAttempts) },
		"unkeyed": c.sendUnkeyed,
		"safe":    c.sendSafe,
		"model":   c.sendModelRequest,
	}
	counts := map[string]int{"keyed": 10, "unkeyed": 3, "safe": 3, "model": 6}
	var mu sync.Mutex
	var group sync.WaitGroup
	results := map[string][]requestResult{}
	for kind, sendKind := range kinds {
		for caller := range counts[kind] {
			group.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					result := sendKind(caller, i)
					mu.Lock()
					results[kind] = append(results[kind], result)
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	return results
}

// sendToAcceptingEntry sends a request to the first entry that accepts connections, beginning
// with the one at index firstEntry, as a load balancer would.
func (c *cluster) sendToAcceptingEntry(firstEntry int, method, path, body string, header map[string]string) (*node, answer) {
	for {
		for i := range c.entries {
			entry := c.entries[(firstEntry+i)%len(c.entries)]
			got := c.sendRequest(entry, method, path, body, header)
			if !errors.Is(got.err, syscall.ECONNREFUSED) {
				return entry, got
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendAndRecord sends one request and adds the response to its result; isCorrect reports whether
// an answer is the right one.
func (c *cluster) sendAndRecord(result *requestResult, firstEntry int, method, path, body string, header map[string]string, isCorrect func(answer) bool) {
	start := time.Now()
	entry, got := c.sendToAcceptingEntry(firstEntry, method, path, body, header)
	result.maxDuration = max(result.maxDuration, time.Since(start))
	result.responses = append(result.responses, fmt.Sprintf("%s %d/%s %v", entry.vm.ID, got.status, got.code, got.err))
	switch {
	case got.err == nil && got.status == http.StatusOK:
		result.answered = isCorrect(got)
		if !result.answered {
			result.responses = append(result.responses, "wrong answer")
		}
	default:
		// The last response counts, also after attempts with an unknown outcome.
		result.notRun = got.err == nil && strings.HasPrefix(got.code, "2")
	}
}

// sendUntilAnswered sends a request with one key until it is answered or the attempts are used
// up, each time through the next entry.
func (c *cluster) sendUntilAnswered(caller, index, attempts int) requestResult {
	result := requestResult{body: fmt.Sprintf("booking %d of caller %d", index, caller), notRun: true}
	path := fmt.Sprintf("/file?delay=%dms", 20+index%5*100)
	want := acaciastandin.PlainAnswer(http.MethodPost, path, result.body, 100)
	for attempt := range attempts {
		c.sendAndRecord(&result, caller+index+attempt, http.MethodPost, "/services/archiv"+path, result.body, withKey(result.body), func(a answer) bool { return a.body == want })
		if result.answered {
			return result
		}
		time.Sleep(500 * time.Millisecond)
	}
	return result
}

// sendUnkeyed sends a request without a key once; such a request must not be retried.
func (c *cluster) sendUnkeyed(caller, index int) requestResult {
	result := requestResult{body: fmt.Sprintf("drawing %d of caller %d", index, caller), notRun: true}
	path := fmt.Sprintf("/file?delay=%dms", 20+index%3*100)
	want := acaciastandin.PlainAnswer(http.MethodPost, path, result.body, 100)
	c.sendAndRecord(&result, caller+index, http.MethodPost, "/services/archiv"+path, result.body, nil,
		func(a answer) bool { return a.body == want })
	time.Sleep(50 * time.Millisecond)
	return result
}

// sendSafe sends a safe request, which may run more than once.
func (c *cluster) sendSafe(caller, index int) requestResult {
	result := requestResult{body: fmt.Sprintf("fetch %d of caller %d", index, caller), notRun: true}
	const path = "/plan?size=5000"
	want := acaciastandin.PlainAnswer(http.MethodGet, path, result.body, 5000)
	c.sendAndRecord(&result, caller+index, http.MethodGet, "/services/archiv"+path, result.body, nil,
		func(a answer) bool { return a.body == want })
	time.Sleep(50 * time.Millisecond)
	return result
}

// sendModelRequest sends a model request. Its result has the request ID in place of the body,
// because engines count runs by request ID.
func (c *cluster) sendModelRequest(caller, index int) requestResult {
	tokens := 30 + index%3*150
	result := requestResult{notRun: true}
	prompt := fmt.Sprintf("log %d of caller %d", index, caller)
	want := acaciastandin.AnswerText([]byte(fmt.Sprintf("%q", prompt)), tokens)
	class := map[string]string{"Acacia-Class": []string{"rescue", "note", "survey"}[index%3]}
	start := time.Now()
	entry, got := c.sendToAcceptingEntry(caller+index, http.MethodPost, "/v1/completions", modelBody(prompt, tokens), class)
	result.maxDuration = time.Since(start)
	result.body = got.requestID
	result.responses = append(result.responses, fmt.Sprintf("%s %d/%s %v", entry.vm.ID, got.status, got.code, got.err))
	text, err := answerText(got.body, true)
	result.answered = got.err == nil && got.status == http.StatusOK && err == nil && text == want
	if !result.answered && err == nil && got.err == nil && got.status == http.StatusOK {
		result.responses = append(result.responses, "wrong answer")
	}
	if got.err != nil || got.status == http.StatusOK || !strings.HasPrefix(got.code, "2") {
		result.notRun = false
	}
	time.Sleep(50 * time.Millisecond)
	return result
}
