package acaciagateway

import (
	"fmt"
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// ExplainError is the answer to a query that can't be explained.
	ExplainError struct {
		Code acaciaroute.Code `json:"code"`
		Name string           `json:"error"`
		// Field is the name in the query string that is at fault, empty if none is.
		Field  string `json:"field,omitempty"`
		Detail string `json:"detail"`
	}

	// explainQuery is what is asked about a request.
	explainQuery struct {
		host         string
		path         string
		organisation string
		metadata     acaciasite.Request
	}
)

// The names in the query string.
const (
	ExplainHost = "host"
	// ExplainTarget is the path of the request that is asked about; ExplainPath is that of the query.
	ExplainTarget       = "path"
	ExplainOrganisation = "organisation"
	ExplainKey          = "key"
	ExplainPrompt       = "prompt_tokens"
	ExplainOutput       = "output_tokens"
	ExplainHint         = "length_hint"
	ExplainSegments     = "segments"
	ExplainDeadline     = "deadline"
	ExplainModel        = "model"
)

const (
	// maxExplainedTokens is the most tokens that a request or a segment counts as.
	maxExplainedTokens = math.MaxInt32
	// maxExplainedSegments bounds the segments of an explained prompt, which are looked for in the cache of each
	// endpoint. Segments of less than 128 tokens are joined, so that a prompt of 131,072 tokens has no more.
	maxExplainedSegments = 1024
)

// Error implements error.
func (e *ExplainError) Error() string {
	text := fmt.Sprintf("%d %s: ", int(e.Code), e.Name)
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Detail
}

// newExplainError returns an error about a field. No value of a key may be among the arguments.
func newExplainError(code acaciaroute.Code, field, format string, args ...any) *ExplainError {
	return &ExplainError{Code: code, Name: code.String(), Field: field, Detail: fmt.Sprintf(format, args...)}
}

// decodeExplainQuery decodes a query string.
func decodeExplainQuery(text string) (explainQuery, *ExplainError) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return explainQuery{}, newExplainError(acaciaroute.CodeBadRequest, "", "the query string can't be decoded")
	}
	query := explainQuery{}
	fields := map[string]func(value string) *ExplainError{
		ExplainHost:         setText(&query.host),
		ExplainOrganisation: setText(&query.organisation),
		ExplainKey:          setText(&query.metadata.Key),
		ExplainModel:        setText(&query.metadata.Model),
		ExplainTarget:       query.setPath,
		ExplainPrompt:       setTokens(ExplainPrompt, &query.metadata.PromptTokens),
		ExplainOutput:       setTokens(ExplainOutput, &query.metadata.OutputTokens),
		ExplainHint:         setTokens(ExplainHint, &query.metadata.LengthHint),
		ExplainSegments:     query.setSegments,
		ExplainDeadline:     query.setDeadline,
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		set, known := fields[name]
		given := values[name]
		switch {
		case !known:
			return query, newExplainError(acaciaroute.CodeBadRequest, name, "there is no such field")
		case len(given) > 1:
			return query, newExplainError(acaciaroute.CodeBadRequest, name, "the field is given %d times", len(given))
		}
		if err := set(given[0]); err != nil {
			return query, err
		}
	}
	switch {
	case query.path == "":
		return query, newExplainError(acaciaroute.CodeBadRequest, ExplainTarget, "the path is missing")
	case query.metadata.Key != "" && query.organisation != "":
		return query, newExplainError(acaciaroute.CodeBadRequest, ExplainOrganisation, "either a key or an organisation may be given")
	}
	return query, nil
}

// setText returns a function that sets a text.
func setText(target *string) func(string) *ExplainError {
	return func(value string) *ExplainError {
		*target = value
		return nil
	}
}

// setTokens returns a function that sets a number of tokens.
func setTokens(field string, target *int) func(string) *ExplainError {
	return func(value string) (err *ExplainError) {
		*target, err = parseExplainedTokens(field, value)
		return err
	}
}

func (q *explainQuery) setPath(value string) *ExplainError {
	if !strings.HasPrefix(value, "/") {
		return newExplainError(acaciaroute.CodeBadRequest, ExplainTarget, "%q doesn't begin with a slash", value)
	}
	q.path = value
	return nil
}

func (q *explainQuery) setDeadline(value string) *ExplainError {
	deadline, err := time.ParseDuration(value)
	if err != nil || deadline <= 0 {
		return newExplainError(acaciaroute.CodeBadRequest, ExplainDeadline, "%q is no duration above zero, such as 1.5s", value)
	}
	q.metadata.RemainingTime = deadline
	return nil
}

func (q *explainQuery) setSegments(value string) *ExplainError {
	if value == "" {
		return nil
	}
	entries := slices.Collect(strings.SplitSeq(value, ","))
	if len(entries) > maxExplainedSegments {
		return newExplainError(acaciaroute.CodeBadRequest, ExplainSegments, "there are more than %d segments", maxExplainedSegments)
	}
	for _, entry := range entries {
		id, tokens, _ := strings.Cut(strings.TrimSpace(entry), ":")
		segmentID, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return newExplainError(acaciaroute.CodeBadRequest, ExplainSegments, "%q is no hexadecimal ID with a number of tokens, such as 7f:128", entry)
		}
		count, tokensErr := parseExplainedTokens(ExplainSegments, tokens)
		if tokensErr != nil {
			return tokensErr
		}
		q.metadata.PromptSegments = append(q.metadata.PromptSegments, acaciasite.PromptSegment{ID: segmentID, Tokens: count})
	}
	return nil
}

// parseExplainedTokens parses a number of tokens.
func parseExplainedTokens(field, text string) (int, *ExplainError) {
	tokens, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || tokens < 0 || tokens > maxExplainedTokens {
		return 0, newExplainError(acaciaroute.CodeBadRequest, field, "%q is no number of tokens from 0 to %d", text, maxExplainedTokens)
	}
	return int(tokens), nil
}
