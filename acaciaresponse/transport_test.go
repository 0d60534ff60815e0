package acaciaresponse

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// startRawServer starts a server that answers the first requests of each connection with sound responses, as many as
// soundCount, and the next one with a text. It returns its URL.
func startRawServer(t *testing.T, soundCount int, text string) string {
	t.Helper()
	server, err := acaciastandin.StartRawServer(t.Context(), "127.0.0.1:0", 0, func(conn *net.TCPConn) { answerRaw(conn, soundCount, text) })
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

func answerRaw(conn net.Conn, soundCount int, text string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range soundCount {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, sound)
	}
	if _, err := http.ReadRequest(reader); err == nil {
		_, _ = io.WriteString(conn, text)
	}
}

// post sends a request that the client doesn't repeat, and returns the body of the response.
func post(client *http.Client, url string) (string, error) {
	response, err := client.Post(url, "", nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against malformed responses that pass because net/http has read the next response's head ahead, or because
// the connection was idle.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	for name, text := range malformedHeads {
		for connection, soundCount := range map[string]int{"new connection": 0, "kept connection": 2} {
			t.Run(name+"/"+connection, func(t *testing.T) {
				url := startRawServer(t, soundCount, text)
				transport := NewTransport(&http.Transport{})
				t.Cleanup(transport.CloseIdleConnections)
				client := &http.Client{Transport: transport}
				for range soundCount {
					body, err := post(client, url)
					assert.NilError(t, err)
					assert.Equal(t, body, "no")
				}
				body, err := post(client, url)
				var headErr *HeadError
				assert.Check(t, errors.As(err, &headErr), "body %q, error %v", body, err)
			})
		}
	}
}

// Guards against TLS connections over which malformed responses pass, or none at all because the server chooses HTTP/2.
func TestTransportChecksResponsesOverTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "no")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, malformedHeads["status 000"])
		_ = conn.Close()
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	transport := NewTransport(server.Client().Transport.(*http.Transport))
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	body, err := post(client, server.URL+"/sound")
	assert.NilError(t, err)
	assert.Equal(t, body, "no")
	body, err = post(client, server.URL+"/malformed")
	var headErr *HeadError
	assert.Check(t, errors.As(err, &headErr), "body %q, error %v", body, err)
}
