package acaciaexperiment

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Workload describes a consortium's pool and its callers.
	Workload struct {
		Name        string
		DataCentres []DataCentre
		Classes     []Class
		Members     []Member
		Documents   int
		// Capacity is the rate in requests per second that the clairvoyant bound
		// serves within the targets.
		Capacity float64
	}

	// DataCentre is a data centre with its entry, its endpoints and its callers.
	DataCentre struct {
		Name    string
		Region  string
		Engines int
		// Demand is the share of all requests that come here.
		Demand float64
	}

	// Class is a class of work with its targets and the shape of its requests.
	Class struct {
		Name       string
		Rank       int
		FirstToken time.Duration
		TokenGap   time.Duration
		// Share is the part of all requests.
		Share float64
		// Prompt and Output are ranges in tokens; Prefix is the shared part of a
		// prompt.
		Prompt Range
		Output Range
		Prefix Range
		// Repeatable tells that a request may start again at another endpoint.
		Repeatable bool
	}

	// Member is an organisation with its part of the demand.
	Member struct {
		Name   string
		Demand float64
	}

	// Range is a range of token counts, drawn evenly on a logarithmic scale.
	Range struct {
		Low, High int
	}

	// Arrival is one request of a trace.
	Arrival struct {
		At         time.Duration
		ID         string
		DataCentre int
		Class      int
		Member     int
		Prompt     int
		Output     int
		Prefixes   []uint64
	}
)

var (
	// Hoehlenplan is a workload after the sizes of Höhlenplan Genossenschaft.
	Hoehlenplan = Workload{
		Name: "hoehlenplan",
		DataCentres: []DataCentre{
			{"ost-wien", "ost", 8, 0.4},
			{"ost-graz", "ost", 6, 0.3},
			{"west-ibk", "west", 6, 0.3},
		},
		Classes: []Class{
			{"rescue", 3, 2 * time.Second, 69 * time.Millisecond, 0.08, Range{100, 1000}, Range{40, 120}, Range{64, 256}, true},
			{"note", 2, 4 * time.Second, 69 * time.Millisecond, 0.62, Range{200, 1500}, Range{50, 150}, Range{64, 512}, true},
			{"survey", 1, 20 * time.Second, 100 * time.Millisecond, 0.30, Range{2000, 20000}, Range{200, 600}, Range{512, 8192}, false},
		},
		Members: []Member{
			{"hoehle", 0.46}, {"karst", 0.46}, {"verein", 0.04}, {"rettung", 0.03}, {"museum", 0.01},
		},
		Documents: 40,
		Capacity:  75,
	}

	// DalaShred is a workload after the sizes of Dala Shred Alliance.
	DalaShred = Workload{
		Name: "dala_shred",
		DataCentres: []DataCentre{
			{"almaty-a", "almaty", 4, 0.4},
			{"almaty-b", "almaty", 3, 0.3},
			{"astana-a", "astana", 3, 0.3},
		},
		Classes: []Class{
			{"audit", 3, 2 * time.Second, 69 * time.Millisecond, 0.15, Range{300, 1500}, Range{100, 250}, Range{64, 512}, false},
			{"pickup", 2, 4 * time.Second, 69 * time.Millisecond, 0.55, Range{500, 4000}, Range{60, 150}, Range{256, 2048}, true},
			{"brief", 1, 10 * time.Second, 100 * time.Millisecond, 0.30, Range{800, 3000}, Range{200, 500}, Range{256, 1024}, true},
		},
		Members: []Member{
			{"shred_a", 0.48}, {"shred_b", 0.48}, {"shred_c", 0.02}, {"shred_d", 0.01}, {"client", 0.01},
		},
		Documents: 30,
		Capacity:  58,
	}
)

const (
	// documentSkew is the exponent of the documents' popularity.
	documentSkew = 1.1
	prefixBase   = 64
)

// Trace draws the arrivals of a workload; rate returns the requests per second
// at a time.
func (w Workload) Trace(random *rand.Rand, length time.Duration, rate func(time.Duration) float64) []Arrival {
	var arrivals []Arrival
	now := time.Duration(0)
	for {
		now += time.Duration(random.ExpFloat64() / rate(now) * float64(time.Second))
		if now >= length {
			return arrivals
		}
		arrivals = append(arrivals, w.draw(random, now, len(arrivals)))
	}
}

func (w Workload) draw(random *rand.Rand, at time.Duration, index int) Arrival {
	a := Arrival{
		At:         at,
		ID:         requestID(index),
		DataCentre: pick(random, len(w.DataCentres), func(i int) float64 { return w.DataCentres[i].Demand }),
		Class:      pick(random, len(w.Classes), func(i int) float64 { return w.Classes[i].Share }),
		Member:     pick(random, len(w.Members), func(i int) float64 { return w.Members[i].Demand }),
	}
	class := w.Classes[a.Class]
	a.Output = class.Output.draw(random)
	document := pick(random, w.Documents, func(i int) float64 { return math.Pow(float64(i+1), -documentSkew) })
	shared := class.Prefix.draw(rand.New(rand.NewPCG(uint64(document), uint64(a.Class))))
	a.Prompt = max(class.Prompt.draw(random), shared+16)
	a.Prefixes = prefixes(a, document, shared, index)
	return a
}

// prefixes returns hashes like those of acaciaprefix: shared ones up to the end
// of the document, then ones of this request alone.
func prefixes(a Arrival, document, shared, index int) []uint64 {
	var hashes []uint64
	for level := 0; level < 8; level++ {
		covered := prefixBase << level
		if covered > a.Prompt {
			break
		}
		source := uint64(a.Member)<<48 | uint64(a.Class)<<40 | uint64(document)<<20
		if covered > shared {
			source = 1<<63 | uint64(index)<<8
		}
		hashes = append(hashes, rand.New(rand.NewPCG(source, uint64(level))).Uint64())
	}
	return hashes
}

func (r Range) draw(random *rand.Rand) int {
	low, high := math.Log(float64(r.Low)), math.Log(float64(r.High))
	return int(math.Exp(low + random.Float64()*(high-low)))
}

// pick draws an index by weight.
func pick(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := random.Float64() * total
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}

// Workloads are all workloads.
var Workloads = []Workload{Hoehlenplan, DalaShred}
