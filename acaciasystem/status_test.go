package acaciasystem

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestStatusComparesTheServedShareWithTheTarget(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	note := map[string]string{"Acacia-Class": "note"}
	for _, entry := range c.entries {
		checkModelAnswer(t, c.sendRequest(entry, http.MethodPost, "/v1/completions", modelBody("share", 3), note), "share", 3)
	}
	killProcess(t, c.engines[0].process)
	late := map[string]string{"Acacia-Class": "note", "Acacia-Deadline": "100ms"}
	got := c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody("late", 3), late)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	status := c.mustRunCommand("status", "--log", "http://"+c.platformAddr, "--vm-list", "http://"+c.platformAddr)
	var row []string
	for _, line := range strings.Split(status, "\n") {
		if strings.HasPrefix(line, "note ") {
			row = strings.Fields(line)
		}
	}
	assert.DeepEqual(t, row, []string{"note", "3", "2", "0.667", "0.900"})
}
