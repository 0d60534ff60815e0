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

// mixedCall is a request together with the answer that must come.
type mixedCall struct {
	method, path, body, class string
	check                     func(body string) error
}

func modelCall(random *rand.Rand, index int) mixedCall {
	tokens := 1 + random.IntN(40)
	text := strings.Repeat(fmt.Sprintf("station %d ", index%7), 1+random.IntN(300)) + fmt.Sprint(index)
	streamed := index%2 == 0
	chat := index%3 != 0
	call := mixedCall{method: http.MethodPost, class: []string{"rescue", "note", "survey"}[index%3]}
	prompt := fmt.Sprintf("%q", text)
	call.path = "/v1/completions"
	field := "prompt"
	if chat {
		call.path = "/v1/chat/completions"
		field = "messages"
		prompt = fmt.Sprintf(`[{"role":"user","content":%q}]`, text)
	}
	call.body = fmt.Sprintf(`{"model":%q,%q:%s,"max_tokens":%d,"stream":%t}`, modelName, field, prompt, tokens, streamed)
	want := acaciastandin.AnswerText([]byte(prompt), tokens)
	call.check = func(body string) error {
		got, err := answerText(body, streamed)
		if err == nil && got != want {
			err = fmt.Errorf("got %q, want %q", got, want)
		}
		return err
	}
	return call
}

func plainCall(random *rand.Rand, index int) mixedCall {
	size := random.IntN(300_000)
	call := mixedCall{
		method: []string{http.MethodGet, http.MethodPost, http.MethodPut}[index%3],
		path:   fmt.Sprintf("/services/archiv/plans/%d?size=%d", index, size),
		class:  "note",
	}
	if call.method != http.MethodGet {
		call.body = fmt.Sprintf("drawing %d", index)
	}
	want := acaciastandin.PlainAnswer(call.method, strings.TrimPrefix(call.path, "/services/archiv"), call.body, size)
	call.check = func(body string) error {
		if body != want {
			return fmt.Errorf("got %d bytes, want %d", len(body), len(want))
		}
		return nil
	}
	return call
}

// answerText returns the text in a model's answer, and an error unless it is
// whole.
func answerText(body string, streamed bool) (string, error) {
	type part struct {
		Choices []struct {
			Text    string
			Delta   struct{ Content string }
			Message struct{ Content string }
		}
	}
	read := func(data string) (string, error) {
		var p part
		if err := json.Unmarshal([]byte(data), &p); err != nil || len(p.Choices) != 1 {
			return "", fmt.Errorf("no choice in %q", data)
		}
		return p.Choices[0].Text + p.Choices[0].Delta.Content + p.Choices[0].Message.Content, nil
	}
	if !streamed {
		return read(body)
	}
	var text strings.Builder
	for event := range strings.SplitSeq(strings.TrimSpace(body), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			return text.String(), nil
		}
		piece, err := read(data)
		if err != nil {
			return "", err
		}
		text.WriteString(piece)
	}
	return "", fmt.Errorf("the stream has no end")
}

func TestThousandMixedRequestsGetWholeAnswers(t *testing.T) {
	t.Parallel()
	const (
		requests = 1000
		parallel = 48
	)
	c := newCluster(t, 3, 8, 3)
	random := rand.New(rand.NewPCG(1, 2))
	calls := make([]mixedCall, requests)
	for i := range calls {
		calls[i] = modelCall(random, i)
		if i%4 == 3 {
			calls[i] = plainCall(random, i)
		}
	}
	limit := make(chan struct{}, parallel)
	results := make(chan error, requests)
	for i, call := range calls {
		limit <- struct{}{}
		go func() {
			defer func() { <-limit }()
			got := c.call(c.entries[i%len(c.entries)], call.method, call.path, call.body, map[string]string{"Acacia-Class": call.class})
			if got.err == nil && got.status != http.StatusOK {
				got.err = fmt.Errorf("status %d: %s", got.status, got.body)
			}
			if got.err == nil {
				got.err = call.check(got.body)
			}
			if got.err != nil {
				got.err = fmt.Errorf("request %d: %w", i, got.err)
			}
			results <- got.err
		}()
	}
	for range requests {
		assert.Check(t, <-results)
	}
	for id, count := range c.runs(c.engines) {
		assert.Check(t, count == 1, "request %s ran %d times", id, count)
	}
	checkEvents(t, c.events())
}
