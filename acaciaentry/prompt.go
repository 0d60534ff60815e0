package acaciaentry

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// prompt holds the properties of a model request's body that scheduling needs.
	prompt struct {
		model     string
		tokens    int
		maxTokens int
		prefixes  []uint64
		streamed  bool
	}

	completionBody struct {
		Model               string              `json:"model"`
		Messages            []completionMessage `json:"messages"`
		Prompt              json.RawMessage     `json:"prompt"`
		MaxTokens           *int                `json:"max_tokens"`
		MaxCompletionTokens *int                `json:"max_completion_tokens"`
		Stream              bool                `json:"stream"`
	}

	completionMessage struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
)

// parsePrompt parses the body of a chat or text completion request.
func parsePrompt(body []byte, chat bool) (prompt, error) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return prompt{}, &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "the request body is not a valid JSON completion request", Err: err}
	}
	text := parsed.promptText(chat)
	switch {
	case parsed.Model == "":
		return prompt{}, acaciaroute.Errorf(acaciaroute.CodeBadRequest, "model is missing")
	case len(text) == 0 && chat:
		return prompt{}, acaciaroute.Errorf(acaciaroute.CodeBadRequest, "messages are missing")
	case len(text) == 0:
		return prompt{}, acaciaroute.Errorf(acaciaroute.CodeBadRequest, "prompt is missing")
	}
	p := prompt{
		model:    parsed.Model,
		tokens:   acaciaprefix.EstimateTokens(text),
		prefixes: acaciaprefix.PrefixHashes(parsed.Model, text),
		streamed: parsed.Stream,
	}
	for _, limit := range []*int{parsed.MaxTokens, parsed.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return prompt{}, acaciaroute.Errorf(acaciaroute.CodeBadRequest, "max_tokens and max_completion_tokens must be positive")
		}
		// Messages to agents have 32 bits for it; no engine has memory for more tokens.
		p.maxTokens = min(*limit, math.MaxInt32)
	}
	return p, nil
}

// promptText returns an approximation of the prompt that the engine processes. It is
// accurate enough to estimate lengths and to match prefixes.
func (b *completionBody) promptText(chat bool) []byte {
	if !chat {
		return unquote(b.Prompt)
	}
	var text bytes.Buffer
	for _, message := range b.Messages {
		text.WriteString(message.Role)
		text.WriteByte('\n')
		text.Write(unquote(message.Content))
		text.WriteByte('\n')
	}
	return text.Bytes()
}

// unquote returns the text of a JSON string, nil for null, and other JSON unchanged.
func unquote(raw json.RawMessage) []byte {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return []byte(text)
	}
	if bytes.Equal(raw, []byte("null")) {
		return nil
	}
	return raw
}
