package acaciaengine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// wholeAnswer gathers the engine's events into the one JSON object that the
	// caller asked for.
	wholeAnswer struct {
		stream  *streamAnswer
		scanner eventScanner
		chat    bool
		object  completion
		texts   map[int]*choice
		sent    bool
	}

	completion struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}

	choice struct {
		Index        int      `json:"index"`
		Text         *string  `json:"text,omitempty"`
		Delta        *message `json:"delta,omitempty"`
		Message      *message `json:"message,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
)

// Header implements acaciaroute.Answer.
func (a *wholeAnswer) Header() acaciaroute.AnswerHeader {
	header := http.Header{"Content-Type": {"application/json"}}
	return acaciaroute.AnswerHeader{Status: a.stream.Header().Status, Header: header}
}

// Next implements acaciaroute.Answer: pieces without data tell the tokens, and
// the last one holds the object.
func (a *wholeAnswer) Next() (acaciaroute.Piece, error) {
	if a.sent {
		return acaciaroute.Piece{}, io.EOF
	}
	piece, err := a.stream.Next()
	if errors.Is(err, io.EOF) {
		return a.finish()
	}
	if err != nil {
		return acaciaroute.Piece{}, err
	}
	for _, event := range a.scanner.scan(piece.Data) {
		if err := a.add(event); err != nil {
			return acaciaroute.Piece{}, err
		}
	}
	return acaciaroute.Piece{Tokens: piece.Tokens}, nil
}

// Close implements acaciaroute.Answer.
func (a *wholeAnswer) Close() error {
	return a.stream.Close()
}

func (a *wholeAnswer) add(event []byte) error {
	var part completion
	if err := json.Unmarshal(event, &part); err != nil {
		return err
	}
	if a.texts == nil {
		a.texts = map[int]*choice{}
		a.object = part
	}
	if len(part.Usage) > 0 && string(part.Usage) != "null" {
		a.object.Usage = part.Usage
	}
	for _, c := range part.Choices {
		a.addChoice(c)
	}
	return nil
}

func (a *wholeAnswer) addChoice(part choice) {
	whole, ok := a.texts[part.Index]
	if !ok {
		whole = &choice{Index: part.Index}
		if a.chat {
			whole.Message = &message{Role: "assistant"}
		} else {
			whole.Text = new(string)
		}
		a.texts[part.Index] = whole
	}
	if part.FinishReason != nil {
		whole.FinishReason = part.FinishReason
	}
	if part.Delta != nil && whole.Message != nil {
		whole.Message.Content += part.Delta.Content
	}
	if part.Text != nil && whole.Text != nil {
		*whole.Text += *part.Text
	}
}

func (a *wholeAnswer) finish() (acaciaroute.Piece, error) {
	a.sent = true
	a.object.Object = "text_completion"
	if a.chat {
		a.object.Object = "chat.completion"
	}
	a.object.Choices = nil
	for _, c := range a.texts {
		a.object.Choices = append(a.object.Choices, *c)
	}
	slices.SortFunc(a.object.Choices, func(x, y choice) int { return x.Index - y.Index })
	data, err := json.Marshal(a.object)
	return acaciaroute.Piece{Data: data}, err
}
