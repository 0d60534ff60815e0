package acaciaschedule

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

type (
	// SizeCount is a number of waiting requests of one rank and size band. Those of a band count with times in the waits
	// of others that have the same number of bits in milliseconds.
	SizeCount struct {
		Rank  int
		Band  int
		Count int
	}

	// rankSizes counts the waiting requests of other processes by rank and size band.
	rankSizes struct {
		// ranks is sorted by rank.
		ranks []rankSize
	}

	rankSize struct {
		rank  int
		bands [sizeBands]int
		// unsized is the number of those whose process reports no size bands.
		unsized int
		// work is the expected slot time of those in bands together.
		work float64
	}
)

const (
	// sizeBands is the number of size bands; the last one holds maxExpectedSlotTime.
	sizeBands = 23
	// bandMiddle is the expected slot time of a request of a band, as a share of the band's upper end.
	bandMiddle = 0.75
	// maxExpectedWait bounds expected waits: sums over what faulty processes report may not fit into a Duration.
	maxExpectedWait = 30 * 24 * time.Hour
)

// sizeBand returns the size band of an expected slot time.
func sizeBand(slotTime time.Duration) int {
	return min(bits.Len64(uint64(max(slotTime.Milliseconds(), 0))), sizeBands-1)
}

// bandWork returns the expected slot time of a request of a size band, in nanoseconds.
func bandWork(band int) float64 {
	return bandMiddle * math.Ldexp(float64(time.Millisecond), band)
}

// of returns the counts of a rank.
func (s *rankSizes) of(rank int) *rankSize {
	i, found := slices.BinarySearchFunc(s.ranks, rank, func(r rankSize, rank int) int { return cmp.Compare(r.rank, rank) })
	if !found {
		s.ranks = slices.Insert(s.ranks, i, rankSize{rank: rank})
	}
	return &s.ranks[i]
}

// add adds the requests of a queue; a sign of -1 removes them.
func (s *rankSizes) add(queue *peerQueue, sign int) {
	if len(queue.sizes) == 0 {
		for _, counted := range queue.waiting {
			s.of(counted.rank).unsized += sign * counted.count
		}
	}
	for _, size := range queue.sizes {
		band := min(max(size.Band, 0), sizeBands-1)
		counts := s.of(size.Rank)
		counts.bands[band] += sign * size.Count
		// The sum is exact: all of its terms are multiples of the work of the first band.
		counts.work += float64(sign*size.Count) * bandWork(band)
	}
	if sign < 0 {
		s.ranks = slices.DeleteFunc(s.ranks, func(r rankSize) bool { return r.unsized == 0 && r.bands == [sizeBands]int{} })
	}
}

// workAhead returns the expected slot time, in nanoseconds, of the requests of more urgent ranks and of those of the rank
// in size bands up to the given one. A request whose process reports no bands counts as usual.
func (s *rankSizes) workAhead(rank, band int, usual time.Duration) float64 {
	work := 0.0
	for i := range s.ranks {
		counted := &s.ranks[i]
		if counted.rank > rank {
			break
		}
		work += float64(counted.unsized) * float64(usual)
		if counted.rank < rank || band >= sizeBands-1 {
			work += counted.work
			continue
		}
		for b := 0; b <= band; b++ {
			work += float64(counted.bands[b]) * bandWork(b)
		}
	}
	return work
}

// countSizes returns the waiting requests by rank and size band; nil before there was a request with a hint.
func (svc *service) countSizes() []SizeCount {
	if !svc.sizes.hinted {
		return nil
	}
	var sizes rankSizes
	for _, request := range svc.waiting {
		sizes.of(request.countedRank).bands[sizeBand(request.waitShare)]++
	}
	var counts []SizeCount
	for _, counted := range sizes.ranks {
		for band, count := range counted.bands {
			if count > 0 {
				counts = append(counts, SizeCount{counted.rank, band, count})
			}
		}
	}
	return counts
}
