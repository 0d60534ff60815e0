package acaciaprocess

import (
	"encoding/binary"
	"io"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// The frames of HTTP/2 that the stand-in of a process needs (RFC 9113, section 6).
const (
	frameHeaderBytes = 9
	prefaceBytes     = 24

	frameData     = 0
	frameHeaders  = 1
	frameSettings = 4

	flagEndStream  = 1
	flagAck        = 1
	flagEndHeaders = 4
)

// http2Field is a field of a response's head.
type http2Field struct {
	name, value string
}

// writeFrame writes one frame.
func writeFrame(w io.Writer, kind, flags byte, stream uint32, payload []byte) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	frame = append(frame, flags)
	frame = binary.BigEndian.AppendUint32(frame, stream)
	_, _ = w.Write(append(frame, payload...))
}

// encodeFields encodes fields as literals, which a head may hold whatever their names and values.
func encodeFields(fields []http2Field) []byte {
	var block []byte
	for _, f := range fields {
		block = append(block, 0, byte(len(f.name)))
		block = append(block, f.name...)
		block = append(block, byte(len(f.value)))
		block = append(block, f.value...)
	}
	return block
}

// startHTTP2Server starts a stand-in of a process that answers each call with a head and a body. It returns its address.
func startHTTP2Server(t *testing.T, fields []http2Field, body []byte) string {
	t.Helper()
	server, err := acaciastandin.StartRawServer(t.Context(), "127.0.0.1:0", 0, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		_, _ = io.ReadFull(conn, make([]byte, prefaceBytes))
		writeFrame(conn, frameSettings, 0, 0, nil)
		for {
			header := make([]byte, frameHeaderBytes)
			if _, err := io.ReadFull(conn, header); err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(header)>>8))
			kind, flags, stream := header[3], header[4], binary.BigEndian.Uint32(header[5:])
			switch {
			case kind == frameSettings && flags&flagAck == 0:
				writeFrame(conn, frameSettings, flagAck, 0, nil)
			case (kind == frameHeaders || kind == frameData) && flags&flagEndStream != 0:
				writeFrame(conn, frameHeaders, flagEndHeaders, stream, encodeFields(fields))
				writeFrame(conn, frameData, flagEndStream, stream, body)
			}
		}
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

// Processes call each other over HTTP/2, whose heads acaciaresponse doesn't check. Guards against replies with a status code
// that is none, or with a malformed name of a field, which net/http and connect refuse.
func TestMalformedResponseOverHTTP2IsNoReply(t *testing.T) {
	body, err := proto.Marshal(&acaciawire.StatusReply{Process: "agent-1"})
	assert.NilError(t, err)
	status, contentType := http2Field{":status", "200"}, http2Field{"content-type", "application/proto"}
	for name, test := range map[string]struct {
		fields []http2Field
		sound  bool
	}{
		"sound":                  {[]http2Field{status, contentType}, true},
		"status 000":             {[]http2Field{{":status", "000"}, contentType}, false},
		"status 600":             {[]http2Field{{":status", "600"}, contentType}, false},
		"blank in a name":        {[]http2Field{status, contentType, {"x shard", "3"}}, false},
		"blank after a name":     {[]http2Field{status, contentType, {"x-shard ", "3"}}, false},
		"blank before a name":    {[]http2Field{status, contentType, {" x-shard", "3"}}, false},
		"control byte in a name": {[]http2Field{status, contentType, {"x\x01shard", "3"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clients := NewClients()
			t.Cleanup(clients.Close)
			reply, err := clients.Peer(startHTTP2Server(t, test.fields, body)).Status(t.Context(), &acaciawire.StatusRequest{})
			if !test.sound {
				assert.Check(t, err != nil, "%v", reply)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, reply.Process, "agent-1")
		})
	}
}
