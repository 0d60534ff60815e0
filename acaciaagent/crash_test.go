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

func TestCrashDetectorDistinguishesCrashFromOtherFailures(t *testing.T) {
	const (
		complete  = acaciaroute.CodeOK
		cut       = acaciaroute.CodeAnswerCut
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
		"all failed":                     {running: []string{"a", "b"}, ends: []end{{"a", cut}, {"b", cut}}, contents: []string{"a", "b"}},
		"another is still active":        {running: []string{"a", "b"}, ends: []end{{"a", cut}}},
		"another completed":              {running: []string{"a", "b"}, ends: []end{{"a", cut}, {"b", complete}}},
		"another was cancelled":          {running: []string{"a", "b"}, ends: []end{{"a", cut}, {"b", cancelled}}, contents: []string{"a"}},
		"only cancelled":                 {running: []string{"a"}, ends: []end{{"a", cancelled}}},
		"failed alone":                   {alone: true, running: []string{"a"}, ends: []end{{"a", cut}}, contents: []string{"a"}},
		"completed alone":                {alone: true, running: []string{"a"}, ends: []end{{"a", complete}}, contents: []string{"a"}, cleared: true},
		"cancelled alone is not cleared": {alone: true, running: []string{"a"}, ends: []end{{"a", cancelled}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reports []acaciapoison.Report
				d := newCrashDetector(func(r acaciapoison.Report) { reports = append(reports, r) })
				for _, id := range test.running {
					d.runStarted(id, id, acaciapoison.Run{}, test.alone)
				}
				for _, e := range test.ends {
					d.runEnded(context.Background(), e.id, e.code)
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
