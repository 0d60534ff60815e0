package acaciaroute_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacheck"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// numberedRows returns the table rows of a page whose first cell is a number, without that
// cell and keyed by the number.
func numberedRows(t *testing.T, path string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	rowsByNumber := map[string]string{}
	for _, match := range regexp.MustCompile(`(?m)^\| (\d+) (\|.*)$`).FindAllStringSubmatch(string(data), -1) {
		rowsByNumber[match[1]] = match[2]
	}
	return rowsByNumber
}

func TestErrorsPageListsEveryCode(t *testing.T) {
	table := numberedRows(t, "docs/ERRORS.md")
	codes := acaciaroute.Codes()
	assert.Equal(t, len(table), len(codes))
	for _, code := range codes {
		want := fmt.Sprintf("| %s | %d |", code, code.HTTPStatus())
		assert.Check(t, strings.HasPrefix(table[fmt.Sprint(int(code))], want), "code %d", int(code))
	}
}

func TestEventsPageListsEveryKind(t *testing.T) {
	table := numberedRows(t, "docs/EVENTS.md")
	kinds := acaciaevent.Kinds()
	assert.Equal(t, len(table), len(kinds))
	for _, kind := range kinds {
		assert.Check(t, strings.HasPrefix(table[fmt.Sprint(int(kind))], fmt.Sprintf("| %s |", kind)), "event %d", int(kind))
	}
}

func TestProofsPageListsEveryInvariant(t *testing.T) {
	data, err := os.ReadFile("docs/PROOFS.md")
	assert.NilError(t, err)
	for _, name := range acaciacheck.InvariantNames() {
		assert.Check(t, strings.Contains(string(data), "`"+name+"`"), name)
	}
}
