package acaciaentry

import (
	"bytes"
	"encoding/json"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// prompt is what decisions need to know of a model request's body.
	prompt struct {
		model     string
		tokens    int
		maxTokens int
		prefixes  []uint64
		streamed  bool
	}

	promptBody struct {
		Model               string          `json:"model"`
		Messages            []promptMessage `json:"messages"`
		Prompt              json.RawMessage `json:"prompt"`
		MaxTokens           *int            `json:"max_tokens"`
		MaxCompletionTokens *int            `json:"max_completion_tokens"`
		Stream              bool            `json:"stream"`
	}

	promptMessage struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
)

// parsePrompt reads the body of a chat or text completion.
func parsePrompt(body []byte, chat bool) (prompt, error) {
	var parsed promptBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return prompt{}, &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "the body is not the JSON of a completion", Err: err}
	}
	text := parsed.text(chat)
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
		tokens:   acaciaprefix.Tokens(text),
		prefixes: acaciaprefix.Hashes(parsed.Model, text),
		streamed: parsed.Stream,
	}
	for _, limit := range []*int{parsed.MaxTokens, parsed.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return prompt{}, acaciaroute.Errorf(acaciaroute.CodeBadRequest, "max_tokens must be positive")
		}
		p.maxTokens = *limit
	}
	return p, nil
}

// text returns the prompt as the engine will see it, near enough for lengths and
// prefixes.
func (b *promptBody) text(chat bool) []byte {
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

// unquote returns the text of a JSON string, or other JSON as it is.
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
