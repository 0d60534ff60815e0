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
	// objectAnswer merges the engine's events into the one JSON object that the
	// caller asked for.
	objectAnswer struct {
		stream   *streamAnswer
		scanner  eventScanner
		isChat   bool
		object   completion
		choices  map[int]*choice
		finished bool
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
func (a *objectAnswer) Header() acaciaroute.AnswerHeader {
	header := http.Header{"Content-Type": {"application/json"}}
	return acaciaroute.AnswerHeader{Status: a.stream.Header().Status, Header: header}
}

// Next implements acaciaroute.Answer. The parts hold token counts without data,
// except the last, which holds the whole object.
func (a *objectAnswer) Next() (acaciaroute.AnswerPart, error) {
	if a.finished {
		return acaciaroute.AnswerPart{}, io.EOF
	}
	part, err := a.stream.Next()
	if errors.Is(err, io.EOF) {
		return a.finalPart()
	}
	if err != nil {
		return acaciaroute.AnswerPart{}, err
	}
	for _, event := range a.scanner.scan(part.Data) {
		if err := a.addEvent(event); err != nil {
			return acaciaroute.AnswerPart{}, err
		}
	}
	return acaciaroute.AnswerPart{Tokens: part.Tokens}, nil
}

// Close implements acaciaroute.Answer.
func (a *objectAnswer) Close() error {
	return a.stream.Close()
}

// addEvent merges the data of one event into the object. The first event supplies the
// object's ID, creation time and model.
func (a *objectAnswer) addEvent(event []byte) error {
	var part completion
	if err := json.Unmarshal(event, &part); err != nil {
		return err
	}
	if a.choices == nil {
		a.choices = map[int]*choice{}
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

func (a *objectAnswer) addChoice(part choice) {
	merged, ok := a.choices[part.Index]
	if !ok {
		merged = &choice{Index: part.Index}
		if a.isChat {
			merged.Message = &message{Role: "assistant"}
		} else {
			merged.Text = new(string)
		}
		a.choices[part.Index] = merged
	}
	if part.FinishReason != nil {
		merged.FinishReason = part.FinishReason
	}
	if part.Delta != nil && merged.Message != nil {
		merged.Message.Content += part.Delta.Content
	}
	if part.Text != nil && merged.Text != nil {
		*merged.Text += *part.Text
	}
}

// finalPart returns the merged object as the last part.
func (a *objectAnswer) finalPart() (acaciaroute.AnswerPart, error) {
	a.finished = true
	a.object.Object = "text_completion"
	if a.isChat {
		a.object.Object = "chat.completion"
	}
	a.object.Choices = nil
	for _, c := range a.choices {
		a.object.Choices = append(a.object.Choices, *c)
	}
	slices.SortFunc(a.object.Choices, func(x, y choice) int { return x.Index - y.Index })
	data, err := json.Marshal(a.object)
	return acaciaroute.AnswerPart{Data: data}, err
}
