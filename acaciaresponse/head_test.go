package acaciaresponse

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"

// malformedHeads are what a server may send in place of a sound response.
var malformedHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\nno",
	"status 000, no reason":       "HTTP/1.1 000\r\n\r\n",
	"status 000, bare line feeds": "HTTP/1.1 000 Unknown\nContent-Length: 2\n\nno",
	"status 000, then sound":      "HTTP/1.1 000 Unknown\r\n\r\n" + sound,
	"status 000 after interim":    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 Unknown\r\n\r\n",
	"status 099":                  "HTTP/1.1 099 Unknown\r\n\r\n",
	"status +20":                  "HTTP/1.1 +20 Unknown\r\n\r\n",
	"status 101":                  "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound,
	"status 600":                  "HTTP/1.1 600 Unknown\r\nContent-Length: 2\r\n\r\nno",
	"status 999":                  "HTTP/1.1 999 Unknown\r\n\r\n",
	"no status":                   "HTTP/1.1 \r\n\r\n",
	"blank after a name":          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno",
	"blank in a name":             "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nno",
	"blank before the first name": "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nno",
	"blank before another name":   "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\nno",
	"folded value":                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\tc\r\n\r\nno",
	"line of a blank":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n \r\n\r\nno",
	"tab after a name":            "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\nno",
	"NUL in a name":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA\x00b: c\r\n\r\nno",
	"CR before a name":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rA: b\r\n\r\nno",
	"CR before the empty line":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\r\n\r\nno",
	"CR after a name":             "HTTP/1.1 200 OK\r\nContent-Length\r: 2\r\n\r\nno",
	"DEL in a name":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA\x7f: c\r\n\r\nno",
	"LF before a name":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nA: b\r\n\r\nno",
	"CRLF after lines with LF":    "HTTP/1.1 200 OK\nContent-Length: 2\n\r\nno",
	"LF in a name":                "HTTP/1.1 200 OK\r\nContent-\nLength: 2\r\n\r\nno",
	"no name":                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n: c\r\n\r\nno",
	"blank in an interim name":    "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\n" + sound,
	"blank in a later name":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno",
}

// soundResponses are responses that must not be refused; each ends with bytes that look like a malformed head.
var soundResponses = map[string]string{
	"length":            sound + "HTTP/1.1 000 Unknown\r\n\r\n",
	"no fields":         "HTTP/1.1 599\r\n\r\nHTTP/1.1 000 Unknown\r\n\r\n",
	"bare line feeds":   "HTTP/1.1 200 OK\nA: b\n\nHTTP/1.1 000 Unknown\n\n",
	"after interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sound + "A b: c\r\n\r\n",
	"unusual names":     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \x7f: \t\r\nX:\r\n\r\n\x00 : \r\n\r\n",
	"long reason":       "HTTP/1.1 404 " + string(make([]byte, 2*maxStatusLineBytes)) + "\r\n\r\n 000",
	"spaces before 200": "HTTP/1.1   200 OK\r\n\r\n A: b\r\n\r\n",
}

// checkInPieces checks the bytes of a response in pieces of any sizes.
func checkInPieces(t *rapid.T, response string) error {
	var head headChecker
	head.begin()
	for rest := []byte(response); len(rest) > 0; {
		n := rapid.IntRange(1, len(rest)).Draw(t, "length")
		if err := head.check(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// Guards against malformed heads that pass, and sound ones that don't, if they arrive in pieces.
func TestHeadIsCheckedInAnyPieces(t *testing.T) {
	for name, response := range malformedHeads {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			var headErr *HeadError
			assert.Check(t, errors.As(checkInPieces(t, response), &headErr), "%q is not refused", response)
		}))
	}
	for name, response := range soundResponses {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			assert.NilError(t, checkInPieces(t, response))
		}))
	}
}
