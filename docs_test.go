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

// rows returns the rows of a page's table that begin with a number, by number.
func rows(t *testing.T, path string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	found := map[string]string{}
	for _, match := range regexp.MustCompile(`(?m)^\| (\d+) (\|.*)$`).FindAllStringSubmatch(string(data), -1) {
		found[match[1]] = match[2]
	}
	return found
}

func TestEveryCodeIsInTheTable(t *testing.T) {
	table := rows(t, "docs/ERRORS.md")
	codes := acaciaroute.Codes()
	assert.Equal(t, len(table), len(codes))
	for _, code := range codes {
		want := fmt.Sprintf("| %s | %d |", code, code.HTTPStatus())
		assert.Check(t, strings.HasPrefix(table[fmt.Sprint(int(code))], want), "code %d", int(code))
	}
}

func TestEveryEventIsInTheCatalogue(t *testing.T) {
	table := rows(t, "docs/EVENTS.md")
	kinds := acaciaevent.Kinds()
	assert.Equal(t, len(table), len(kinds))
	for _, kind := range kinds {
		assert.Check(t, strings.HasPrefix(table[fmt.Sprint(int(kind))], fmt.Sprintf("| %s |", kind)), "event %d", int(kind))
	}
}

func TestEveryInvariantIsOnThePageOfProofs(t *testing.T) {
	data, err := os.ReadFile("docs/PROOFS.md")
	assert.NilError(t, err)
	for _, name := range acaciacheck.Names() {
		assert.Check(t, strings.Contains(string(data), "`"+name+"`"), name)
	}
}
