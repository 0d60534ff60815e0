package acaciagateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// explainedFields are the fields of a query about a request of the stand-in's caller.
func explainedFields(path string, more ...string) url.Values {
	values := url.Values{ExplainHost: {acaciaplatformstandin.Host}, ExplainTarget: {path}, ExplainKey: {acaciaplatformstandin.Key}}
	for i := 0; i < len(more); i += 2 {
		values.Set(more[i], more[i+1])
	}
	return values
}

// newExplainRequest returns a query to a gateway's metrics address.
func newExplainRequest(t testing.TB, g *Gateway, query string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+g.settings.MetricsAddress+ExplainPath+"?"+query, nil)
	assert.NilError(t, err)
	return request
}

// queryExplanation queries a gateway's metrics address.
func queryExplanation(t testing.TB, g *Gateway, query string) testResponse {
	t.Helper()
	response := doRequest(newExplainRequest(t, g, query))
	assert.NilError(t, response.err)
	assert.Equal(t, response.header.Get("Content-Type"), "application/json")
	return response
}

// explained returns the explanation that a gateway gives.
func explained(t testing.TB, g *Gateway, fields url.Values) Explanation {
	t.Helper()
	response := queryExplanation(t, g, fields.Encode())
	assert.Equal(t, response.status, http.StatusOK, response.body)
	var explanation Explanation
	assert.NilError(t, json.Unmarshal([]byte(response.body), &explanation))
	return explanation
}

// unexplained returns the error that a gateway gives with a status.
func unexplained(t testing.TB, g *Gateway, query string, status int) ExplainError {
	t.Helper()
	response := queryExplanation(t, g, query)
	assert.Equal(t, response.status, status, response.body)
	var explainErr ExplainError
	assert.NilError(t, json.Unmarshal([]byte(response.body), &explainErr))
	assert.Equal(t, explainErr.Name, explainErr.Code.String())
	return explainErr
}

// An explanation must name the endpoint that gets the request, and leave the quota, the queue and the endpoints as they
// are: operators ask for it while callers wait.
func TestExplanationNamesEndpointAndSendsNothing(t *testing.T) {
	var requests atomic.Int64
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		writeResponse(w, r, "")
	})
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, 3000, 100))
	waitFor(t, func() bool { return b.gateway.configurationVersion() == 2 })
	// The quota of a process that has just started is small at first.
	waitFor(t, func() bool { return explained(t, b.gateway, explainedFields("/safe/x")).Services[0].Quota.Accepted })
	state := func() (used map[string]float64, report acaciaschedule.Report) {
		b.gateway.loop.Do(func() {
			used, report = b.gateway.quota.Used(), b.gateway.scheduler.BuildReport(b.gateway.loop.Now())
		})
		return used, report
	}
	usedBefore, reportBefore := state()
	var explanation Explanation
	for range 20 {
		explanation = explained(t, b.gateway, explainedFields("/safe/x", ExplainDeadline, "1.5s"))
	}
	usedAfter, reportAfter := state()
	assert.Equal(t, requests.Load(), int64(0))
	assert.DeepEqual(t, usedBefore, usedAfter)
	assert.Assert(t, reflect.DeepEqual(reportBefore, reportAfter), "%+v", reportAfter)
	assert.Equal(t, explanation.Route, "safe")
	assert.Equal(t, explanation.Kind, "idempotent")
	assert.Equal(t, explanation.Organisation, acaciaplatformstandin.Organisation)
	assert.Equal(t, explanation.ConfigurationVersion, int64(2))
	assert.Equal(t, time.Duration(explanation.Timeout), 1500*time.Millisecond)
	assert.Equal(t, len(explanation.Services), 1)
	service := explanation.Services[0]
	assert.Equal(t, service.Service, acaciaplatformstandin.Service)
	assert.Equal(t, service.Share, 1.0)
	assert.Equal(t, service.Outcome, acaciaschedule.OutcomeEndpoint)
	assert.Equal(t, service.Endpoint, testEndpoint)
	assert.Assert(t, service.Quota.Limited && service.Quota.Accepted && service.Quota.Cost == 1, "%+v", service.Quota)
	assert.Equal(t, len(service.Schedule.Endpoints), 1)
	named := explained(t, b.gateway, url.Values{ExplainHost: {acaciaplatformstandin.Host + ":80"}, ExplainTarget: {"/safe/x?y=1"}, ExplainOrganisation: {acaciaplatformstandin.Organisation}})
	assert.Equal(t, named.Services[0].Endpoint, testEndpoint)
}

// Answers and refusals that no caller got would mislead whoever counts them, and a key in an event would be in every log.
func TestExplanationsAreNotRecorded(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	counted := func() (lines []string) {
		for line := range strings.Lines(b.metrics()) {
			if strings.HasPrefix(line, "acaciaroute_gateway_answer") || strings.HasPrefix(line, "acaciaroute_gateway_first_seconds") {
				lines = append(lines, line)
			}
		}
		return lines
	}
	assert.Equal(t, b.send(http.MethodPost, "/safe/x", "r", "").status, http.StatusOK)
	waitFor(t, func() bool { return len(counted()) > 0 })
	before := counted()
	after := b.gateway.recorder.Clock().Next()
	const wrongKey = "secret-of-mine"
	explained(t, b.gateway, explainedFields("/safe/x", ExplainDeadline, "1ms"))
	unexplained(t, b.gateway, explainedFields("/safe/x", ExplainKey, wrongKey).Encode(), http.StatusBadRequest)
	unexplained(t, b.gateway, explainedFields("/safe/x", ExplainPrompt, "-1").Encode(), http.StatusBadRequest)
	assert.DeepEqual(t, counted(), before)
	for _, event := range b.gateway.recorder.EventsAfter(after) {
		text, err := event.Encode()
		assert.NilError(t, err)
		assert.Check(t, event.Organisation == "" && event.Class == "" && event.Kind != acaciaevent.RequestRefused && event.Kind != acaciaevent.RequestShed, string(text))
		assert.Check(t, !strings.Contains(string(text), wrongKey) && !strings.Contains(string(text), acaciaplatformstandin.Key), string(text))
	}
}

// What can't be read must not count as absent, as it does in callers' headers: an operator would read the explanation of
// another request.
func TestUnreadableQueryNamesItsField(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	manySegments := strings.Repeat("1:1,", maxExplainedSegments) + "1:1"
	for _, test := range []struct {
		field, query string
		code         acaciaroute.Code
	}{
		{"path", "host=h", acaciaroute.CodeBadRequest},
		{"path", "path=safe", acaciaroute.CodeBadRequest},
		{"", "path=%zz", acaciaroute.CodeBadRequest},
		{"", "path=/safe/;x=1", acaciaroute.CodeBadRequest},
		{"unknown", "path=/safe/&unknown=1", acaciaroute.CodeBadRequest},
		{"path", "path=/safe/&path=/unsafe/", acaciaroute.CodeBadRequest},
		{"organisation", "path=/safe/&key=k&organisation=o", acaciaroute.CodeBadRequest},
		{"prompt_tokens", "path=/safe/&prompt_tokens=-1", acaciaroute.CodeBadRequest},
		{"prompt_tokens", "path=/safe/&prompt_tokens=2147483648", acaciaroute.CodeBadRequest},
		{"output_tokens", "path=/safe/&output_tokens=9223372036854775808", acaciaroute.CodeBadRequest},
		{"output_tokens", "path=/safe/&output_tokens=NaN", acaciaroute.CodeBadRequest},
		{"segments", "path=/safe/&segments=xy:1", acaciaroute.CodeBadRequest},
		{"segments", "path=/safe/&segments=7f", acaciaroute.CodeBadRequest},
		{"segments", "path=/safe/&segments=7f:1e9", acaciaroute.CodeBadRequest},
		{"segments", "path=/safe/&segments=" + manySegments, acaciaroute.CodeBadRequest},
		{"deadline", "path=/safe/&deadline=0s", acaciaroute.CodeBadRequest},
		{"deadline", "path=/safe/&deadline=1e308s", acaciaroute.CodeBadRequest},
		{"path", explainedFields("/nowhere/").Encode(), acaciaroute.CodeNoRoute},
		{"organisation", "host=" + acaciaplatformstandin.Host + "&path=/safe/&organisation=strangers", acaciaroute.CodeUnauthenticated},
		{"organisation", "host=" + acaciaplatformstandin.Host + "&path=/safe/", acaciaroute.CodeUnauthenticated},
		{"key", "host=" + acaciaplatformstandin.Host + "&path=/safe/&key=secret-of-mine", acaciaroute.CodeUnauthenticated},
	} {
		explainErr := unexplained(t, b.gateway, test.query, http.StatusBadRequest)
		name := test.query[:min(len(test.query), 100)]
		assert.Check(t, explainErr.Field == test.field && explainErr.Code == test.code, "%s: %+v", name, explainErr)
		assert.Check(t, !strings.Contains(explainErr.Error(), "secret-of-mine"), name)
		if test.field == ExplainOrganisation && strings.Contains(test.query, "strangers") {
			assert.Check(t, strings.Contains(explainErr.Detail, "strangers"), explainErr.Detail)
		}
		if test.code == acaciaroute.CodeNoRoute {
			assert.Check(t, strings.Contains(explainErr.Detail, "/nowhere/"), explainErr.Detail)
		}
	}
	// The largest values that can be read.
	explanation := explained(t, b.gateway, explainedFields("/safe/x", ExplainPrompt, "2147483647", ExplainOutput, "2147483647", ExplainSegments, "ffffffffffffffff:2147483647,0:2147483647", ExplainDeadline, "2562047h"))
	assert.Equal(t, explanation.Services[0].Schedule.Endpoints[0].PrefillTokens, 1<<31-1)
}

// A query with several faults must get the same error each time: an operator who asks again would think that the fault has
// gone.
func TestFirstFaultOfQueryIsTheSameEachTime(t *testing.T) {
	for range 100 {
		_, err := decodeExplainQuery("path=safe&prompt_tokens=-1&deadline=x")
		assert.Equal(t, err.Field, ExplainDeadline)
	}
}

// A gateway that has just started must say so in the same form as all else, so that a script can tell it from a failure.
func TestExplanationWithoutConfigurationIsNotReady(t *testing.T) {
	client := acaciaplatform.New(acaciaplatform.Settings{Store: "http://" + unusedAddress}, &http.Transport{})
	recorder := acaciaevent.NewRecorder("g", acaciaevent.NewClock(time.Now), logr.Discard(), 10)
	g := New(context.Background(), acaciaplatform.ProcessSettings{Name: "g"}, client.Store(), recorder, NewMetrics(client))
	defer g.loop.Close()
	response := httptest.NewRecorder()
	g.metricsHandler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, ExplainPath+"?path=/x", nil))
	var explainErr ExplainError
	assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &explainErr))
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, explainErr.Code, acaciaroute.CodeNotReady)
}

// A query must not hang while the gateway is behind, and queries must not pile up on the loop before callers' requests.
func TestExplanationsDoNotPileUpAtGatewayThatIsBehind(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	query := explainedFields("/safe/x").Encode()
	release := make(chan struct{})
	b.gateway.loop.Post(func() { <-release })
	first, request := make(chan testResponse, 1), newExplainRequest(t, b.gateway, query)
	go func() { first <- doRequest(request) }()
	waitFor(t, func() bool { return len(b.gateway.explaining) == 1 })
	assert.Equal(t, unexplained(t, b.gateway, query, http.StatusTooManyRequests).Code, acaciaroute.CodeShed)
	// The loop is still held when the first query has its answer.
	response := <-first
	assert.Equal(t, response.status, http.StatusServiceUnavailable, response.body)
	assert.Assert(t, strings.Contains(response.body, `"code":2004`), response.body)
	assert.Equal(t, unexplained(t, b.gateway, query, http.StatusTooManyRequests).Code, acaciaroute.CodeShed)
	close(release)
	waitFor(t, func() bool { return len(b.gateway.explaining) == 0 })
	for range 5 {
		assert.Equal(t, explained(t, b.gateway, explainedFields("/safe/x")).Services[0].Endpoint, testEndpoint)
	}
}

// Each service of a split route decides by itself; its share tells how many requests that concerns.
func TestEachServiceOfSplitRouteIsExplained(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	text := strings.ReplaceAll(string(acaciaplatformstandin.Configuration(2, 3000, 0)), `"service":"`+acaciaplatformstandin.Service+`"`,
		`"trafficSplit":[{"service":"`+acaciaplatformstandin.Service+`","weight":3},{"service":"empty","weight":1},{"service":"off","weight":0}]`)
	b.store.PutConfiguration([]byte(text))
	waitFor(t, func() bool { return b.gateway.configurationVersion() == 2 })
	services := explained(t, b.gateway, explainedFields("/safe/x")).Services
	assert.Equal(t, len(services), 2)
	assert.Equal(t, services[0].Share, 0.75)
	assert.Equal(t, services[0].Outcome, acaciaschedule.OutcomeEndpoint)
	assert.Equal(t, services[1].Service, "empty")
	assert.Equal(t, services[1].Share, 0.25)
	assert.Assert(t, services[1].Outcome != acaciaschedule.OutcomeEndpoint)
}

// An operator who asks why a caller is refused must be told the code that the caller gets, not the next one.
func TestRefusalIsTheOneThatCallersGet(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, 3000, 20))
	waitFor(t, func() bool { return b.gateway.configurationVersion() == 2 })
	refused := func(want acaciaroute.Code, more ...string) {
		t.Helper()
		service := explained(t, b.gateway, explainedFields("/safe/x", more...)).Services[0]
		assert.Equal(t, service.Outcome, acaciaschedule.OutcomeRefused)
		assert.Equal(t, service.Refusal.Code, want, "%+v", service.Refusal)
		assert.Assert(t, service.Refusal.RetryAfter > 0 && service.Refusal.MaxRetryAfter >= service.Refusal.RetryAfter, "%+v", service.Refusal)
		assert.Equal(t, service.Endpoint, "")
	}
	now := time.Now()
	b.gateway.loop.Do(func() {
		// Two endpoints have crashed while they ran prompts with the segment 7, which others share.
		query := explainQueryOf(t, "path=/x&segments=7:500,8:500")
		traits := requestTraits(&query.metadata, "", "", "", nil)
		for crash := range uint64(2) {
			traits[len(traits)-1] = acaciacrash.Trait(crash)
			b.gateway.crashes.RecordCrash(crash, acaciacrash.StageBegun, traits, b.gateway.crashes.Attempts(traits), now)
		}
	})
	waitFor(t, func() bool { return explained(t, b.gateway, explainedFields("/safe/x")).Services[0].Quota.Accepted })
	refused(acaciaroute.CodePoisonContent, ExplainSegments, "7:500,9:500")
	assert.Equal(t, explained(t, b.gateway, explainedFields("/safe/x")).Services[0].Outcome, acaciaschedule.OutcomeEndpoint)
	for i := range 1000 {
		if b.send(http.MethodPost, "/safe/x", "r", "").status == http.StatusTooManyRequests {
			break
		}
		assert.Assert(t, i < 999, "the quota was not used up")
	}
	refused(acaciaroute.CodeQuota, ExplainSegments, "7:500,9:500")
	b.store.DeleteEndpoint(testEndpoint)
	waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == 0 })
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(3, 3000, 0))
	waitFor(t, func() bool { return b.gateway.configurationVersion() == 3 })
	refused(acaciaroute.CodeShed, ExplainDeadline, "1s")
}

func explainQueryOf(t testing.TB, text string) explainQuery {
	t.Helper()
	query, err := decodeExplainQuery(text)
	assert.Assert(t, err == nil, "%v", err)
	return query
}

// A service that is being moved must be explained with the side on which its requests may run, and the question must not
// count as a request of the rollout: it would take one of the target's sample.
func TestExplanationOfRolloutTakesNoSample(t *testing.T) {
	store := acaciaplatformstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.PutConfiguration(acaciaplatformstandin.Configuration(1, 3000, 0))
	var requests atomic.Int64
	for _, version := range []string{"v1", "v2"} {
		assert.NilError(t, store.PutEndpointVersion("i-"+version, answeringServer(t, &requests).Listener.Addr().String(), version, 2, false, 1))
	}
	g := startGatewayWith(t, storeServer.URL, "g-1", nil, withRollouts)
	b := &testbed{t: t, store: store, gateway: g, url: g.CallerURL()}
	waitFor(t, func() bool { return len(g.endpointIDs()) == 2 })
	assert.NilError(t, store.PutRollout(acaciaplatformstandin.Service, "v2", 2*minOrderDuration))
	sent := func() (all, target int64) {
		g.loop.Do(func() {
			e := g.rollouts.table.Explain(acaciaplatformstandin.Service, g.loop.Now())
			all, target = e.SentAll, e.SentTarget
		})
		return all, target
	}
	// So many requests make the share of the target some of them.
	waitFor(t, func() bool {
		b.send(http.MethodPost, "/safe/x", "r", "")
		all, _ := sent()
		return all >= 60
	})
	allBefore, targetBefore := sent()
	sides := map[string]int{}
	// The target is exposed in pulses.
	waitFor(t, func() bool {
		service := explained(t, g, explainedFields("/safe/x")).Services[0]
		sides[service.RolloutSide]++
		want := map[string]string{"old": "i-v1", "canary": "i-v2"}[service.RolloutSide]
		if service.RolloutTarget != "" {
			assert.Equal(t, service.RolloutTarget, "v2")
			assert.Equal(t, service.Endpoint, want, service.RolloutSide)
			assert.Equal(t, service.Schedule.Canary, service.RolloutSide == "canary")
		}
		return sides["canary"] >= 20
	})
	allAfter, targetAfter := sent()
	assert.DeepEqual(t, []int64{allBefore, targetBefore}, []int64{allAfter, targetAfter})
	waitFor(t, func() (ended bool) {
		g.loop.Do(func() { ended = len(g.rollouts.active) == 0 })
		return ended
	})
}
