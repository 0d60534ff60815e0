package acaciaresponse

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

type (
	// headChecker checks the heads of the responses to one request: those of interim responses and the final one. It gets
	// the bytes in pieces of any size. Its zero value checks nothing.
	headChecker struct {
		part headPart
		// statusLine is the beginning of the status line that is being read, maxStatusLineBytes at most.
		statusLine []byte
		// interim reports whether the response whose head is being read is an interim one.
		interim bool
		// crlf reports whether the lines of the head end with CR and LF, and not with LF alone.
		crlf bool
		// named reports whether the line that is being read has a byte of a field's name, cr whether its last byte
		// so far is a CR.
		named, cr bool
	}

	// headPart is the part of a head that comes next.
	headPart int

	// HeadError is the error of a response with a malformed head.
	HeadError struct {
		// Reason tells what is malformed.
		Reason string
	}
)

const (
	// partNone means that what comes next is not a head, but a body.
	partNone headPart = iota
	partStatusLine
	// partFieldName is the name of a field, or the empty line that ends the head.
	partFieldName
	partFieldValue
)

const (
	// maxStatusLineBytes is how much of a status line is kept to find its status code.
	maxStatusLineBytes = 64
	// maxStatusCode is the highest status code of HTTP.
	maxStatusCode = 599
	// tokenPunctuation are the bytes of which names of fields consist, beside letters and digits.
	tokenPunctuation = "!#$%&'*+-.^_`|~"
)

// Error implements error.
func (e *HeadError) Error() string {
	return "malformed response head: " + e.Reason
}

// begin makes the checker expect the head of a response.
func (h *headChecker) begin() {
	h.part = partStatusLine
	h.statusLine = h.statusLine[:0]
	h.cr = false
}

// check checks the next bytes. The error is a *HeadError.
func (h *headChecker) check(data []byte) error {
	var err error
	for h.part != partNone && len(data) > 0 && err == nil {
		switch h.part {
		case partStatusLine:
			data, err = h.readStatusLine(data)
		case partFieldName:
			data, err = h.readFieldName(data)
		case partFieldValue:
			data, err = h.readFieldValue(data)
		}
	}
	return err
}

// readStatusLine reads a status line, or the part of it that has come, and returns what follows it.
func (h *headChecker) readStatusLine(data []byte) (rest []byte, err error) {
	line, rest, ended := h.cutLine(data)
	space := maxStatusLineBytes - len(h.statusLine)
	h.statusLine = append(h.statusLine, line[:min(len(line), space)]...)
	if !ended {
		return nil, nil
	}
	status, err := parseStatusCode(string(h.statusLine))
	if err != nil {
		return nil, err
	}
	h.interim = status < http.StatusOK
	h.crlf = h.cr
	h.beginField()
	return rest, nil
}

// readFieldName reads the name of a field, or the empty line that ends the head, and returns what follows. A blank
// before a name is an error, too: it would make the field a part of the one before it.
func (h *headChecker) readFieldName(data []byte) (rest []byte, err error) {
	for i, b := range data {
		switch {
		case b == ':' && h.named:
			h.part = partFieldValue
			return data[i+1:], nil
		case b == '\n' && !h.named && h.cr == h.crlf:
			h.endHead()
			return data[i+1:], nil
		case b == '\r' && !h.named && h.crlf && !h.cr:
			h.cr = true
		case isTokenByte(b) && !h.cr:
			h.named = true
		default:
			return nil, &HeadError{Reason: fmt.Sprintf("byte %q in the name of a field", b)}
		}
	}
	return nil, nil
}

// readFieldValue reads the value of a field, or the part of it that has come, and returns what follows it. A line that ends
// otherwise than the status line is an error, because its LF may stand in a name.
func (h *headChecker) readFieldValue(data []byte) (rest []byte, err error) {
	_, rest, ended := h.cutLine(data)
	if !ended {
		return nil, nil
	}
	if h.cr != h.crlf {
		return nil, &HeadError{Reason: "lines that end differently"}
	}
	h.beginField()
	return rest, nil
}

// beginField makes the checker expect a field, or the empty line that ends the head.
func (h *headChecker) beginField() {
	h.part = partFieldName
	h.named, h.cr = false, false
}

// cutLine returns what data holds of the current line and what follows it, and whether the line has ended. It keeps in cr whether
// the last byte before that is a CR.
func (h *headChecker) cutLine(data []byte) (line, rest []byte, ended bool) {
	line, rest, ended = bytes.Cut(data, []byte("\n"))
	if len(line) > 0 {
		h.cr = line[len(line)-1] == '\r'
	}
	return line, rest, ended
}

// endHead ends a head. The head of another response follows that of an interim one.
func (h *headChecker) endHead() {
	if h.interim {
		h.begin()
		return
	}
	h.part = partNone
}

// isTokenByte reports whether the name of a field may hold a byte.
func isTokenByte(b byte) bool {
	letter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
	return letter || '0' <= b && b <= '9' || strings.IndexByte(tokenPunctuation, b) >= 0
}

// parseStatusCode returns the status code of a status line. A code outside of the five classes of HTTP is an error, and so
// is 101 (Switching Protocols), because no request asks for that and what follows it is no HTTP.
func parseStatusCode(line string) (int, error) {
	_, status, _ := strings.Cut(strings.TrimSuffix(line, "\r"), " ")
	code, _, _ := strings.Cut(strings.TrimLeft(status, " "), " ")
	n, err := strconv.Atoi(code)
	if err != nil || n < http.StatusContinue || n > maxStatusCode || n == http.StatusSwitchingProtocols {
		return 0, &HeadError{Reason: fmt.Sprintf("status code %q", code)}
	}
	return n, nil
}
