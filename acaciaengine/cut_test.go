package acaciaengine

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

const (
	// uploadBytes is more than the buffers of a connection hold whose receiver has a buffer of uploadReceiveBytes, so
	// that the upload is being written when its endpoint ends the connection.
	uploadBytes        = 16 << 20
	uploadReceiveBytes = 4 << 10
	uploadCount        = 24
)

// upload sends an upload to a plain service and returns the body of its whole answer. It calls partRead for each part.
func upload(t *testing.T, url string, partRead func()) (string, error) {
	t.Helper()
	answer, err := NewPlainService(url, NewClient()).Start(t.Context(), acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes)})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Close() }()
	body := ""
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		body += string(part.Data)
		partRead()
	}
}

// startUploadServer starts a server that answers before it has read an upload, and ends its connection in one of several
// ways when the part of the answer has been read.
func startUploadServer(t *testing.T, partRead <-chan struct{}, end func(*net.TCPConn)) string {
	t.Helper()
	server, err := acaciastandin.StartRawServer(t.Context(), "127.0.0.1:0", uploadReceiveBytes, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, uploadReceiveBytes))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
		<-partRead
		end(conn)
		_ = conn.Close()
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

// A reset while an upload was being written was reported to the write alone, so that the answer, which had neither a length
// nor chunks, seemed to have ended in order. Its agent took the part for the whole answer.
func TestResetDuringUploadIsNoEndOfAnAnswer(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":      func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"close":      func(*net.TCPConn) {},
		"half-close": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			partRead := make(chan struct{}, 1)
			url := startUploadServer(t, partRead, end)
			for range uploadCount {
				body, err := upload(t, url, func() { partRead <- struct{}{} })
				assert.Check(t, err != nil, "%q counts as whole", body)
			}
		})
	}
}

// An engine that answers before it has read an upload, ends its side in order and reads the rest has given a whole answer.
func TestEarlyAnswerToUploadIsWhole(t *testing.T) {
	partRead := make(chan struct{}, 1)
	url := startUploadServer(t, partRead, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	body, err := upload(t, url, func() { partRead <- struct{}{} })
	assert.NilError(t, err)
	assert.Equal(t, body, "a part")
}
