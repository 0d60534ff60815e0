package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// startRawService starts a service that answers each request with a head and an empty JSON list. It returns its URL.
func startRawService(t *testing.T, head string) string {
	t.Helper()
	server, err := acaciastandin.StartRawServer(t.Context(), "127.0.0.1:0", 0, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n[]")
		}
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

// Guards against malformed responses of the store and of the platform's services that count.
func TestMalformedResponsesOfThePlatformAreRefused(t *testing.T) {
	calls := map[string]func(ctx context.Context, url string) error{
		"write to the store": func(ctx context.Context, url string) error {
			return newStoreClient(url).Store().PutPeer(ctx, "g-1", &acaciaplatform.Peer{Address: "127.0.0.1:9"})
		},
		"list of VMs": func(ctx context.Context, url string) error {
			_, err := newPlatform(acaciaplatform.Settings{VMList: url}).VMList().VMs(ctx)
			return err
		},
	}
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                             true,
		"HTTP/1.1 000 Unknown\r\n":                        false,
		"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n": false,
		"HTTP/1.1 200 OK\r\nX Shard: 3\r\n":               false,
		"HTTP/1.1 200 OK\r\nX-Shard: 3\r\n 4: 5\r\n":      false,
	} {
		for name, call := range calls {
			err := call(t.Context(), startRawService(t, head))
			assert.Equal(t, err == nil, sound, "%s, %q: %v", name, head, err)
		}
	}
}
