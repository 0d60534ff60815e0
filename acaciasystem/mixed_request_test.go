package acaciasystem

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// checkedRequest is a request with the check of its answer.
type checkedRequest struct {
	method, path, body, class string
	check                     func(body string) error
}

func modelRequest(random *rand.Rand, index int) checkedRequest {
	tokens := 1 + random.IntN(40)
	text := strings.Repeat(fmt.Sprintf("station %d ", index%7), 1+random.IntN(300)) + fmt.Sprint(index)
	streamed := index%2 == 0
	chat := index%3 != 0
	request := checkedRequest{method: http.MethodPost, class: []string{"rescue", "note", "survey"}[index%3]}
	prompt := fmt.Sprintf("%q", text)
	request.path = "/v1/completions"
	field := "prompt"
	if chat {
		request.path = "/v1/chat/completions"
		field = "messages"
		prompt = fmt.Sprintf(`[{"role":"user","content":%q}]`, text)
	}
	request.body = fmt.Sprintf(`{"model":%q,%q:%s,"max_tokens":%d,"stream":%t}`, modelName, field, prompt, tokens, streamed)
	want := acaciastandin.AnswerText([]byte(prompt), tokens)
	request.check = func(body string) error {
		got, err := answerText(body, streamed)
		if err == nil && got != want {
			err = fmt.Errorf("got %q, want %q", got, want)
		}
		return err
	}
	return request
}

func plainRequest(random *rand.Rand, index int) checkedRequest {
	size := random.IntN(300_000)
	request := checkedRequest{
		method: []string{http.MethodGet, http.MethodPost, http.MethodPut}[index%3],
		path:   fmt.Sprintf("/services/archiv/plans/%d?size=%d", index, size),
		class:  "note",
	}
	if request.method != http.MethodGet {
		request.body = fmt.Sprintf("drawing %d", index)
	}
	want := acaciastandin.PlainAnswer(request.method, strings.TrimPrefix(request.path, "/services/archiv"), request.body, size)
	request.check = func(body string) error {
		if body != want {
			return fmt.Errorf("got %d bytes, want %d", len(body), len(want))
		}
		return nil
	}
	return request
}

// answerText returns the text in a model's answer, or an error if the answer is not
// complete.
func answerText(body string, streamed bool) (string, error) {
	type responsePart struct {
		Choices []struct {
			Text    string
			Delta   struct{ Content string }
			Message struct{ Content string }
		}
	}
	parsePart := func(data string) (string, error) {
		var p responsePart
		if err := json.Unmarshal([]byte(data), &p); err != nil || len(p.Choices) != 1 {
			return "", fmt.Errorf("not exactly one choice in %q", data)
		}
		return p.Choices[0].Text + p.Choices[0].Delta.Content + p.Choices[0].Message.Content, nil
	}
	if !streamed {
		return parsePart(body)
	}
	var text strings.Builder
	for event := range strings.SplitSeq(strings.TrimSpace(body), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			return text.String(), nil
		}
		partText, err := parsePart(data)
		if err != nil {
			return "", err
		}
		text.WriteString(partText)
	}
	return "", fmt.Errorf("the stream ended without [DONE]")
}

func TestMixedRequestsGetCompleteAnswers(t *testing.T) {
	t.Parallel()
	const (
		requestCount = 1000
		maxParallel  = 48
	)
	c := newCluster(t, 3, 8, 3)
	random := rand.New(rand.NewPCG(1, 2))
	requests := make([]checkedRequest, requestCount)
	for i := range requests {
		requests[i] = modelRequest(random, i)
		if i%4 == 3 {
			requests[i] = plainRequest(random, i)
		}
	}
	semaphore := make(chan struct{}, maxParallel)
	results := make(chan error, requestCount)
	for i, request := range requests {
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore }()
			got := c.sendRequest(c.entries[i%len(c.entries)], request.method, request.path, request.body, map[string]string{"Acacia-Class": request.class})
			if got.err == nil && got.status != http.StatusOK {
				got.err = fmt.Errorf("status %d: %s", got.status, got.body)
			}
			if got.err == nil {
				got.err = request.check(got.body)
			}
			if got.err != nil {
				got.err = fmt.Errorf("request %d: %w", i, got.err)
			}
			results <- got.err
		}()
	}
	for range requestCount {
		assert.Check(t, <-results)
	}
	for id, count := range c.runCounts(c.engines) {
		assert.Check(t, count == 1, "request %s ran %d times", id, count)
	}
	checkInvariants(t, c.events())
}
