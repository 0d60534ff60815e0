package acaciagateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// fetchTimeout bounds a call that fetches a peer's configuration.
	fetchTimeout          = 1500 * time.Millisecond
	configurationPath     = "/configuration"
	maxConfigurationBytes = 16 << 20
)

// startConfigurationFetch fetches a peer's configuration in the background, unless a fetch is
// already running. It must be called on the loop.
func (g *Gateway) startConfigurationFetch(address string) {
	if g.fetchingConfiguration {
		return
	}
	g.fetchingConfiguration = true
	go func() {
		defer g.loop.Post(func() { g.fetchingConfiguration = false })
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		if err := g.fetchConfiguration(ctx, address); err != nil {
			g.recorder.RecordCallFailure("fetch a peer's configuration", acaciaevent.Event{Endpoint: address}, err)
		}
	}()
}

// fetchConfiguration fetches a peer's configuration and applies it.
func (g *Gateway) fetchConfiguration(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationPath, nil)
	if err != nil {
		return err
	}
	response, err := g.peerClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxConfigurationBytes))
	if err != nil {
		return err
	}
	configuration, err := acaciaplatform.DecodeConfiguration(encoded)
	if err != nil {
		return err
	}
	g.applyConfiguration(&loadedConfiguration{Configuration: configuration, encoded: encoded}, "peer "+address)
	return nil
}

// peerHandler returns the handler that serves the newest configuration to peers.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		current := g.configuration.Load()
		if current == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := w.Write(current.encoded); err != nil {
			g.recorder.RecordCallFailure("send the configuration to a peer", acaciaevent.Event{}, err)
		}
	})
	return mux
}
