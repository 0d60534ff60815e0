package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciagateway"
)

const (
	maxExplanationBytes = 64 << 20
	// explainWait is longer than a gateway that is behind takes to say so.
	explainWait = 5 * time.Second

	outputText = "text"
	outputJSON = "json"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where a gateway would send a request now, and why, without sending it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Required: true, Usage: "the gateway's metrics address, as IP:port"},
			&cli.StringFlag{Name: "host", Usage: "the host that the request names"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "the path of the request"},
			&cli.StringFlag{Name: "key", Usage: "the API key of the caller"},
			&cli.StringFlag{Name: "organisation", Usage: "the organisation of the caller, in place of a key"},
			&cli.StringFlag{Name: "model", Usage: "the model that the request names; the segments' prefixes depend on it"},
			&cli.StringFlag{Name: "prompt-tokens", Usage: "the number of tokens of the prompt"},
			&cli.StringFlag{Name: "output-tokens", Usage: "the most tokens of the answer"},
			&cli.StringFlag{Name: "length-hint", Usage: "the caller's estimate of the number of tokens of the answer"},
			&cli.StringFlag{Name: "segments", Usage: "the segments of the prompt, as ID:TOKENS,ID:TOKENS with hexadecimal IDs"},
			&cli.StringFlag{Name: "deadline", Usage: "how long the caller waits, such as 1.5s"},
			&cli.StringFlag{Name: "output", Value: outputText, Usage: "text or json"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) error {
	output := c.String("output")
	if output != outputText && output != outputJSON {
		return acaciaroute.Errorf(acaciaroute.CodeBadRequest, "output: %q is neither %s nor %s", output, outputText, outputJSON)
	}
	query := url.Values{}
	for flag, field := range map[string]string{
		"host": acaciagateway.ExplainHost, "path": acaciagateway.ExplainTarget, "key": acaciagateway.ExplainKey,
		"organisation": acaciagateway.ExplainOrganisation, "model": acaciagateway.ExplainModel, "prompt-tokens": acaciagateway.ExplainPrompt,
		"output-tokens": acaciagateway.ExplainOutput, "length-hint": acaciagateway.ExplainHint, "segments": acaciagateway.ExplainSegments, "deadline": acaciagateway.ExplainDeadline,
	} {
		if c.IsSet(flag) {
			query.Set(field, c.String(flag))
		}
	}
	answer, err := fetchExplanation(ctx, c.String("gateway"), query)
	if output == outputJSON && len(answer) > 0 {
		_, writeErr := c.Root().Writer.Write(answer)
		return errors.Join(err, writeErr)
	}
	if err != nil {
		return err
	}
	var explanation acaciagateway.Explanation
	if err := json.Unmarshal(answer, &explanation); err != nil {
		return err
	}
	return writeExplanation(c.Root().Writer, &explanation)
}

// fetchExplanation asks a gateway where a request would go. It returns the JSON of the answer, also if that is an
// error.
func fetchExplanation(ctx context.Context, address string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+acaciagateway.ExplainPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, acaciaroute.Errorf(acaciaroute.CodePeerDown, "%q is no address of a gateway", address)
	}
	client := newExplainClient()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "gateway " + address, Err: withoutURL(err)}
	}
	defer func() { _ = response.Body.Close() }()
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "application/json") {
		return nil, acaciaroute.Errorf(acaciaroute.CodePeerDown, "gateway %s doesn't explain requests", address)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "gateway " + address, Err: withoutURL(err)}
	}
	var text bytes.Buffer
	if err := json.Indent(&text, body, "", "  "); err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "gateway " + address, Err: err}
	}
	if response.StatusCode == http.StatusOK {
		return text.Bytes(), nil
	}
	var refusal acaciagateway.ExplainError
	if err := json.Unmarshal(body, &refusal); err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "gateway " + address, Err: err}
	}
	detail := refusal.Detail
	if refusal.Field != "" {
		detail = refusal.Field + ": " + detail
	}
	return text.Bytes(), &acaciaroute.Error{Code: refusal.Code, Detail: detail}
}

// newExplainClient returns a client that sends the query, which may hold a key, to the gateway alone: a proxy would log the
// URL, and the target of a redirect would get it as the referrer.
func newExplainClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withoutURL returns the cause of a failed call without its URL, which may hold a key.
func withoutURL(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		return urlErr.Err
	}
	return err
}
