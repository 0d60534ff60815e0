package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciagateway"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

// writeExplanation writes what would become of a request as text.
func writeExplanation(w io.Writer, e *acaciagateway.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	organisation := e.Organisation
	if organisation == "" {
		organisation = "none"
	}
	_, _ = fmt.Fprintf(table, "gateway\t%s at %s, behind by %s\n", e.Gateway, e.At.UTC().Format(time.RFC3339Nano), shortDuration(e.Backlog))
	_, _ = fmt.Fprintf(table, "configuration\tversion %d, in force for %s; endpoints read %s ago\n", e.ConfigurationVersion, shortDuration(e.ConfigurationAge), shortDuration(e.EndpointListAge))
	_, _ = fmt.Fprintf(table, "request\troute %s (%s), organisation %s, rank %d; first byte due in %s, deadline in %s\n",
		e.Route, e.Kind, organisation, e.Rank, shortDuration(e.FirstByteTarget), shortDuration(e.Timeout))
	for i := range e.Services {
		writeServiceExplanation(table, e, &e.Services[i])
	}
	return table.Flush()
}

func writeServiceExplanation(w io.Writer, e *acaciagateway.Explanation, s *acaciagateway.ServiceExplanation) {
	schedule := &s.Schedule
	_, _ = fmt.Fprintf(w, "\nservice\t%s, share %.3g of the route\n", s.Service, s.Share)
	_, _ = fmt.Fprintf(w, "decision\t%s\n", describeDecision(s))
	_, _ = fmt.Fprintf(w, "queue\tposition %d; waiting: %d here, %d at %d peers; before it: %d here, %d at peers; expected wait %s\n", schedule.QueuePosition,
		schedule.Waiting, schedule.PeersWaiting, schedule.Peers, schedule.Ahead, schedule.PeersAhead, shortDuration(schedule.ExpectedWait))
	_, _ = fmt.Fprintf(w, "size\t%.0f events expected; holds a slot for %s; those before it for %s together; goes after requests due up to %s later\n",
		schedule.ExpectedEvents, shortDuration(schedule.ExpectedSlotTime), shortDuration(schedule.WorkAhead), shortDuration(schedule.SizeTerm))
	_, _ = fmt.Fprintf(w, "slots\t%d free at %d endpoints; %s\n", schedule.FreeSlots, schedule.UsableEndpoints, describeReport(schedule))
	_, _ = fmt.Fprintf(w, "quota\t%s\n", describeQuota(e, s))
	if s.RolloutTarget != "" {
		_, _ = fmt.Fprintf(w, "rollout\tto %s, side %s\n", s.RolloutTarget, s.RolloutSide)
	}
	_, _ = fmt.Fprintln(w, "\nENDPOINT\tREASON\tCOST\tFIRST BYTE\tSLOT WAIT\tPREFILL\tDISTANCE\tLATE\tPAUSES\tOTHERS")
	for _, endpoint := range schedule.Endpoints {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", endpoint.ID, describeReason(&endpoint), shortDuration(endpoint.Cost),
			shortDuration(endpoint.ExpectedFirstByte), shortDuration(endpoint.SlotWait), shortDuration(endpoint.FirstByte), shortDuration(endpoint.Distance),
			shortDuration(endpoint.Lateness), shortDuration(endpoint.PauseRisk), shortDuration(endpoint.OthersPrefill+endpoint.OthersAwaiting))
	}
	_, _ = fmt.Fprintln(w, "\nENDPOINT\tDATA CENTRE\tREGION\tVERSION\tSIDE\tSLOTS\tRUNNING\tPEERS'\tLOAD\tFREE\tAGE\tCACHED\tTO PREFILL\tBEFORE IT\tSLOWDOWN\tFAILURES\tLIMIT\tWINDOW\tUNANSWERED")
	for _, endpoint := range schedule.Endpoints {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%d\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%s\t%d\n", endpoint.ID, endpoint.DataCentre, endpoint.Region,
			describeVersion(&endpoint), orDash(endpoint.Side), endpoint.Slots, endpoint.Running, endpoint.PeersRunning, endpoint.Occupancy, endpoint.FreeSlots, shortDuration(endpoint.LoadAge),
			endpoint.CachedTokens, endpoint.PrefillTokens, endpoint.PrefillBefore, endpoint.Slowdown*endpoint.SilenceFactor, endpoint.FailureRate,
			describeLimit(&endpoint), describeWindow(&endpoint), endpoint.Unanswered+endpoint.PeersUnanswered)
	}
}

// describeDecision returns the decision in words.
func describeDecision(s *acaciagateway.ServiceExplanation) string {
	switch {
	case s.Refusal != nil:
		text := fmt.Sprintf("refused with %d %s (HTTP %d): %s", int(s.Refusal.Code), s.Refusal.Name, s.Refusal.Status, s.Refusal.Detail)
		if s.Refusal.RetryAfter > 0 || s.Refusal.MaxRetryAfter > 0 {
			text += fmt.Sprintf("; Retry-After %s to %s", shortDuration(s.Refusal.RetryAfter), shortDuration(s.Refusal.MaxRetryAfter))
		}
		return text
	case s.Endpoint != "" && s.Schedule.Canary:
		return "endpoint " + s.Endpoint + " now, as one of the rollout's sample"
	case s.Endpoint != "":
		return "endpoint " + s.Endpoint + " now"
	case s.Schedule.AwaitedEndpoint != "":
		return "waits for endpoint " + s.Schedule.AwaitedEndpoint
	case s.Outcome == acaciaschedule.OutcomeWait:
		return "waits for a slot"
	}
	return string(s.Outcome)
}

// describeReport returns how old what is known of peers is.
func describeReport(schedule *acaciaschedule.Explanation) string {
	if schedule.Peers == 0 {
		return "no reports of peers"
	}
	return "oldest report of a peer " + shortDuration(schedule.OldestReport) + " ago"
}

// describeQuota returns what is left of the organisation's quota.
func describeQuota(e *acaciagateway.Explanation, s *acaciagateway.ServiceExplanation) string {
	switch {
	case e.Organisation == "":
		return "none: the request has no organisation"
	case s.Quota == nil || !s.Quota.Limited:
		return "none"
	}
	return fmt.Sprintf("%.4g left of %.4g, %.4g a second, reserve %.4g; the request costs %.4g and needs %.4g left",
		s.Quota.Remaining, s.Quota.Burst, s.Quota.Rate, s.Quota.Reserve, s.Quota.Cost, s.Quota.Required)
}

// describeReason returns why an endpoint isn't the choice, with when that ends.
func describeReason(e *acaciaschedule.EndpointExplanation) string {
	text := strings.ReplaceAll(string(e.Reason), "_", " ")
	for _, end := range []struct {
		reason acaciaschedule.Reason
		until  time.Time
	}{{acaciaschedule.ReasonSuspended, e.SuspendedUntil}, {acaciaschedule.ReasonBackoff, e.BackoffUntil}} {
		if end.until.IsZero() {
			continue
		}
		if e.Reason != end.reason {
			text += ", " + string(end.reason)
		}
		text += " until " + end.until.UTC().Format("15:04:05.000")
	}
	if e.WithinJitter {
		text += " by less than the random part"
	}
	return text
}

func describeVersion(e *acaciaschedule.EndpointExplanation) string {
	if e.VersionDoubted {
		return orDash(e.Version) + " in doubt"
	}
	return orDash(e.Version)
}

func describeLimit(e *acaciaschedule.EndpointExplanation) string {
	if e.RateLimit == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g/s, %.2f here", *e.RateLimit, e.LimitTokens)
}

func describeWindow(e *acaciaschedule.EndpointExplanation) string {
	if e.Window == 0 {
		return "-"
	}
	return strconv.Itoa(e.Window)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// shortDuration returns a duration as text, rounded for people to read.
func shortDuration(d acaciatoml.Duration) string {
	duration := time.Duration(d)
	if duration < time.Second {
		return duration.Round(10 * time.Microsecond).String()
	}
	return duration.Round(time.Millisecond).String()
}
