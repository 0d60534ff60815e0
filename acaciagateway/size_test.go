package acaciagateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// A caller that names a very large number of tokens ended the process that got its request, and with it
// the requests of all other callers there.
func TestLargeTokenCountsDoNotEndTheGateway(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "x") }
	b := newTestbed(t, handler, handler)
	for i, size := range []string{
		"1460,4611686018427387903", "4611686018427387903,1", "9223372036854775807,9223372036854775807", "99999999999999999999,99999999999999999999",
		"2147483647,2147483647", "-1,-9223372036854775808",
	} {
		for _, prompt := range []string{"a1:100,b2:200", "a1:9223372036854775807,b2:9223372036854775807", "a1:-5,b2:99999999999999999999"} {
			id := fmt.Sprintf("r-%d-%s", i, prompt[:4])
			request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.url+"/safe/", http.NoBody)
			assert.NilError(t, err)
			acaciaplatformstandin.SetCallerHeaders(request, id)
			request.Header.Set("Token-Count", size)
			request.Header.Set(acaciaplatformstandin.HeaderPrompt, prompt)
			r := doRequest(request)
			assert.NilError(t, r.err)
			assert.Check(t, r.status == http.StatusOK || r.status == http.StatusServiceUnavailable, "%s: status %d", size, r.status)
		}
	}
	r := b.send(http.MethodPost, "/safe/", "r-last", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
}
