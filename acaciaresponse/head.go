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
		// emptyLine reports whether the line that is being read is empty so far.
		emptyLine bool
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
	partFieldLine
)

const (
	// maxStatusLineBytes is how much of a status line is kept to find its status code.
	maxStatusLineBytes = 64
	// maxStatusCode is the highest status code of HTTP.
	maxStatusCode = 599
)

// Error implements error.
func (e *HeadError) Error() string {
	return "malformed response head: " + e.Reason
}

// begin makes the checker expect the head of a response.
func (h *headChecker) begin() {
	h.part = partStatusLine
	h.statusLine = h.statusLine[:0]
}

// check checks the next bytes. The error is a *HeadError.
func (h *headChecker) check(data []byte) error {
	for h.part != partNone && len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		if h.part == partFieldLine {
			h.readFieldLine(line, ended)
		} else if err := h.readStatusLine(line, ended); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// readStatusLine reads the next bytes of a status line, which may end with them.
func (h *headChecker) readStatusLine(data []byte, ended bool) error {
	space := maxStatusLineBytes - len(h.statusLine)
	h.statusLine = append(h.statusLine, data[:min(len(data), space)]...)
	if !ended {
		return nil
	}
	status, err := parseStatusCode(string(h.statusLine))
	if err != nil {
		return err
	}
	h.interim = status < http.StatusOK
	h.part, h.emptyLine = partFieldLine, true
	return nil
}

// readFieldLine reads the next bytes of a field's line, or of the empty line that ends the head.
func (h *headChecker) readFieldLine(data []byte, ended bool) {
	h.emptyLine = h.emptyLine && len(bytes.TrimSuffix(data, []byte("\r"))) == 0
	if !ended {
		return
	}
	if h.emptyLine {
		h.endHead()
		return
	}
	h.emptyLine = true
}

// endHead ends a head. The head of another response follows that of an interim one.
func (h *headChecker) endHead() {
	if h.interim {
		h.begin()
		return
	}
	h.part = partNone
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
