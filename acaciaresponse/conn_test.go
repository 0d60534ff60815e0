package acaciaresponse

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

const (
	// requestBytes is more than the buffers of a connection hold whose receiver has a buffer of receiveBytes.
	requestBytes = 16 << 20
	receiveBytes = 4 << 10
	unframed     = "HTTP/1.1 200 OK\r\n\r\na part"
)

// endedConn is a connection whose peer has ended its side.
type endedConn struct {
	net.Conn
}

// Read implements net.Conn.
func (endedConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

// The operating system reports a reset to a write that is under way, and the next read finds the end of the input.
// Guards against a part of a response that counts as ended in order by that.
func TestResetThatAWriteHasReportedIsNoEnd(t *testing.T) {
	server, err := acaciastandin.StartRawServer(t.Context(), "127.0.0.1:0", receiveBytes, func(conn *net.TCPConn) {
		_, _ = bufio.NewReaderSize(conn, receiveBytes).ReadByte()
		_, _ = io.WriteString(conn, unframed)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	raw, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	conn := NewConn(raw)
	t.Cleanup(func() { _ = conn.Close() })
	endRequest := conn.BeginRequest()
	assert.NilError(t, conn.ExpectResponse(nil))
	writeErr := conn.WriteBuffers(net.Buffers{make([]byte, requestBytes)})
	assert.Check(t, writeErr != nil)
	endRequest()
	response, err := io.ReadAll(conn)
	assert.Equal(t, string(response), unframed)
	assert.Check(t, errors.Is(err, writeErr), "%v", err)
}

// startEndedConn returns a connection whose peer has ended its side after the head of a response, while a request is being
// written, and the peer's end of it. The returned channel gets the error of the write.
func startEndedConn(t *testing.T) (*Conn, net.Conn, <-chan error) {
	t.Helper()
	near, far := net.Pipe()
	conn := NewConn(endedConn{near})
	endRequest := conn.BeginRequest()
	assert.NilError(t, conn.ExpectResponse([]byte(unframed)))
	result := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, requestBytes))
		endRequest()
		result <- err
	}()
	return conn, far, result
}

// Guards against an end that counts before the peer has taken the request, and against one that never counts.
func TestEndCountsWhenTheRequestIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer, written := startEndedConn(t)
		synctest.Wait()
		go func() { _, _ = io.Copy(io.Discard, peer) }()
		_, err := conn.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		assert.NilError(t, <-written)
		assert.NilError(t, conn.Close())
	})
}

// Guards against waiting without a bound for a peer that neither takes the request nor closes the connection.
func TestEndDoesNotCountIfTheRequestIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _, written := startEndedConn(t)
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
		assert.NilError(t, conn.Close())
	})
}

// Guards against a reader that waits for a request whose writer has given up because the connection was closed.
func TestCloseEndsTheWaitForTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := net.Pipe()
		conn := NewConn(endedConn{near})
		conn.BeginRequest()
		result := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			result <- err
		}()
		synctest.Wait()
		assert.NilError(t, conn.Close())
		assert.ErrorIs(t, <-result, net.ErrClosed)
	})
}
