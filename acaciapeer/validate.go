package acaciapeer

import (
	"fmt"
	"math"

	"github.com/acaciaroute/acaciaroute/acaciawire"
)

const (
	// maxRequests bounds the requests that wait for a service, or run at an endpoint, at one process. A process has
	// memory for some thousands; times that are multiplied by sums of such numbers fit into a Duration.
	maxRequests = 1 << 20
	// maxAmount bounds what a rollout has counted since a process started: 2^50 requests are a million a second for 35
	// years.
	maxAmount = 1 << 50
	// maxUsed bounds what an organisation has used since a process started. A caller may charge its organisation with
	// 2^32 tokens a request, so that 2^50 would be reached by 300,000 requests where the quota allows them; sums and
	// products of this bound are finite.
	maxUsed = 1 << 100
	// maxReadableMs is longer than any process runs.
	maxReadableMs = 100 * 365 * 24 * 3600 * 1000
)

// validate returns an error for the first number that no process sends, which names its field.
func validate(wire *acaciawire.GatewayMessage) error {
	if wire.StoreReadableMs < 0 || wire.StoreReadableMs > maxReadableMs {
		return fmt.Errorf("store_readable_ms: %d is not between 0 and %d", wire.StoreReadableMs, int64(maxReadableMs))
	}
	if wire.Version < 0 {
		return fmt.Errorf("version: %d is negative", wire.Version)
	}
	for organisation, used := range wire.Used {
		// A charge is taken back for a request that has not run, so that a sum of fractions may be just below zero.
		if !(math.Abs(used) <= maxUsed) {
			return fmt.Errorf("used[%s]: %v is not between %v and %v", organisation, used, -float64(maxUsed), float64(maxUsed))
		}
	}
	for i, limit := range wire.Limits {
		if !(limit.GetRate() >= 0) || math.IsInf(limit.GetRate(), 0) {
			return fmt.Errorf("limits[%d].rate: %v is no rate", i, limit.GetRate())
		}
	}
	for name, counts := range map[string][]uint32{"load_running": wire.LoadRunning, "load_awaiting": wire.LoadAwaiting} {
		if err := validateCounts(name, counts); err != nil {
			return err
		}
	}
	for i, queue := range wire.Queues {
		if err := validateCounts(fmt.Sprintf("queues[%d].counts", i), queue.GetCounts()); err != nil {
			return err
		}
		if err := validateCounts(fmt.Sprintf("queues[%d].size_counts", i), queue.GetSizeCounts()); err != nil {
			return err
		}
	}
	return validateRollouts(wire.GetRollouts())
}

// validateCounts checks the sum of numbers of requests.
func validateCounts(name string, counts []uint32) error {
	sum := uint64(0)
	for i, count := range counts {
		if sum += uint64(count); sum > maxRequests {
			return fmt.Errorf("%s[%d]: %d requests, more than %d", name, i, sum, maxRequests)
		}
	}
	return nil
}

func validateRollouts(rollouts *acaciawire.Rollouts) error {
	for i, order := range rollouts.GetOrders() {
		amounts := []struct {
			name  string
			value int64
		}{{"sent_all", order.GetSentAll()}, {"sent_target", order.GetSentTarget()}}
		for _, row := range order.GetEvidence() {
			amounts = append(amounts, []struct {
				name  string
				value int64
			}{{"evidence.answers", row.GetAnswers()}, {"evidence.failed", row.GetFailed()}, {"evidence.slow", row.GetSlow()}}...)
		}
		for _, transfer := range order.GetTransfers() {
			amounts = append(amounts, struct {
				name  string
				value int64
			}{"transfers.thousandths", transfer.GetThousandths()})
		}
		for _, amount := range amounts {
			if amount.value > maxAmount {
				return fmt.Errorf("rollouts.orders[%d].%s: %d is more than %d", i, amount.name, amount.value, int64(maxAmount))
			}
		}
	}
	return nil
}
