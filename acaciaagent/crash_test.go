package acaciaagent

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
)

func TestCrashIsToldFromOtherFailures(t *testing.T) {
	const (
		whole     = acaciaroute.CodeOK
		broken    = acaciaroute.CodeAnswerCut
		cancelled = acaciaroute.CodeCancelled
	)
	type end struct {
		id   string
		code acaciaroute.Code
	}
	for name, test := range map[string]struct {
		alone    bool
		running  []string
		ends     []end
		contents []string
		cleared  bool
	}{
		"all broke off":                 {running: []string{"a", "b"}, ends: []end{{"a", broken}, {"b", broken}}, contents: []string{"a", "b"}},
		"another goes on":               {running: []string{"a", "b"}, ends: []end{{"a", broken}}},
		"another ended well":            {running: []string{"a", "b"}, ends: []end{{"a", broken}, {"b", whole}}},
		"another was cancelled":         {running: []string{"a", "b"}, ends: []end{{"a", broken}, {"b", cancelled}}, contents: []string{"a"}},
		"only cancelled":                {running: []string{"a"}, ends: []end{{"a", cancelled}}},
		"broke off alone":               {alone: true, running: []string{"a"}, ends: []end{{"a", broken}}, contents: []string{"a"}},
		"ended well alone":              {alone: true, running: []string{"a"}, ends: []end{{"a", whole}}, contents: []string{"a"}, cleared: true},
		"cancelled alone clears nobody": {alone: true, running: []string{"a"}, ends: []end{{"a", cancelled}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reports []acaciapoison.Report
				d := newCrashDetector(func(r acaciapoison.Report) { reports = append(reports, r) })
				for _, id := range test.running {
					d.begin(id, id, test.alone)
				}
				for _, e := range test.ends {
					d.end(context.Background(), e.id, e.code)
				}
				time.Sleep(2 * crashWindow)
				synctest.Wait()
				if test.contents == nil {
					assert.Equal(t, len(reports), 0)
					return
				}
				assert.Equal(t, len(reports), 1)
				slices.Sort(reports[0].Contents)
				assert.DeepEqual(t, reports[0].Contents, test.contents)
				assert.Equal(t, reports[0].Alone, test.alone)
				assert.Equal(t, reports[0].Cleared, test.cleared)
			})
		})
	}
}
