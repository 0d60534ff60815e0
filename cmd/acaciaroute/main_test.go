package main

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
)

func TestExitCode(t *testing.T) {
	for code, want := range map[acaciaroute.Code]int{
		acaciaroute.CodeBadSettings:        exitBadFile,
		acaciaroute.CodeBadTargets:         exitBadFile,
		acaciaroute.CodePublicationStale:   exitRefused,
		acaciaroute.CodePublicationUnknown: exitUnknown,
		acaciaroute.CodeLogDown:            exitFailed,
	} {
		assert.Equal(t, exitCode(errors.Join(acaciaroute.Errorf(code, "x"))), want, "%s", code)
	}
	assert.Equal(t, exitCode(errors.New("x")), exitFailed)
}
