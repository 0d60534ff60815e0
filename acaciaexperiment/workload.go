package acaciaexperiment

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Workload describes a pool of endpoints shared by organisations, and its requests.
	Workload struct {
		Name          string
		DataCentres   []DataCentre
		Classes       []Class
		Organisations []Organisation
		// Documents is the number of documents; each prompt begins with the text of one.
		Documents int
		// Capacity is the rate in requests per second that the clairvoyant queue
		// serves within the targets.
		Capacity float64
	}

	// DataCentre is a data centre with one entry, its endpoints and its callers.
	DataCentre struct {
		Name    string
		Region  string
		Engines int
		// RequestShare is the share of all requests that arrive at this data centre.
		RequestShare float64
	}

	// Class is a class of requests with its targets and the sizes of its requests.
	Class struct {
		Name       string
		Rank       int
		FirstToken time.Duration
		TokenGap   time.Duration
		// RequestShare is the share of all requests that belong to the class.
		RequestShare float64
		// Prompt and Output are the lengths of prompts and answers in tokens. Prefix
		// is the length of the part of a prompt that requests for the same document
		// share.
		Prompt Range
		Output Range
		Prefix Range
		// Repeatable reports whether a request may run again at another endpoint.
		Repeatable bool
	}

	// Organisation is an organisation. RequestShare is its share of all requests.
	Organisation struct {
		Name         string
		RequestShare float64
	}

	// Range is a range of token counts, drawn from a log-uniform distribution.
	Range struct {
		Low, High int
	}

	// Arrival is one request of a trace. DataCentre, Class and Organisation are indices
	// into the lists of the workload.
	Arrival struct {
		At           time.Duration
		ID           string
		DataCentre   int
		Class        int
		Organisation int
		PromptTokens int
		OutputTokens int
		Prefixes     []uint64
	}
)

var (
	// Hoehlenplan is a workload modelled on the sizes of Höhlenplan Genossenschaft.
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
		Organisations: []Organisation{
			{"hoehle", 0.46}, {"karst", 0.46}, {"verein", 0.04}, {"rettung", 0.03}, {"museum", 0.01},
		},
		Documents: 40,
		Capacity:  75,
	}

	// DalaShred is a workload modelled on the sizes of Dala Shred Alliance.
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
		Organisations: []Organisation{
			{"shred_a", 0.48}, {"shred_b", 0.48}, {"shred_c", 0.02}, {"shred_d", 0.01}, {"client", 0.01},
		},
		Documents: 30,
		Capacity:  58,
	}
)

const (
	// documentZipfExponent is the exponent of the Zipf distribution of requests over
	// documents.
	documentZipfExponent = 1.1
	// shortestPrefixTokens is the length of the shortest prefix that gets a hash; each
	// further one is twice as long.
	shortestPrefixTokens = 64
)

// Trace draws the arrivals of a workload from a Poisson process whose rate at a time is
// rate, in requests per second.
func (w Workload) Trace(random *rand.Rand, length time.Duration, rate func(time.Duration) float64) []Arrival {
	var arrivals []Arrival
	now := time.Duration(0)
	for {
		now += time.Duration(random.ExpFloat64() / rate(now) * float64(time.Second))
		if now >= length {
			return arrivals
		}
		arrivals = append(arrivals, w.drawArrival(random, now, len(arrivals)))
	}
}

func (w Workload) drawArrival(random *rand.Rand, at time.Duration, index int) Arrival {
	a := Arrival{
		At:           at,
		ID:           requestID(index),
		DataCentre:   pickWeighted(random, len(w.DataCentres), func(i int) float64 { return w.DataCentres[i].RequestShare }),
		Class:        pickWeighted(random, len(w.Classes), func(i int) float64 { return w.Classes[i].RequestShare }),
		Organisation: pickWeighted(random, len(w.Organisations), func(i int) float64 { return w.Organisations[i].RequestShare }),
	}
	class := w.Classes[a.Class]
	a.OutputTokens = class.Output.sample(random)
	document := pickWeighted(random, w.Documents, func(i int) float64 { return math.Pow(float64(i+1), -documentZipfExponent) })
	sharedTokens := class.Prefix.sample(rand.New(rand.NewPCG(uint64(document), uint64(a.Class))))
	a.PromptTokens = max(class.Prompt.sample(random), sharedTokens+16)
	a.Prefixes = prefixHashes(a, document, sharedTokens, index)
	return a
}

// prefixHashes returns hashes of the prompt's prefixes like those of acaciaprefix. Up to
// sharedTokens, they are the same for all requests of an organisation and class for the
// same document; beyond, they are unique to the request.
func prefixHashes(a Arrival, document, sharedTokens, index int) []uint64 {
	var hashes []uint64
	for level := 0; level < 8; level++ {
		prefixTokens := shortestPrefixTokens << level
		if prefixTokens > a.PromptTokens {
			break
		}
		prefixSeed := uint64(a.Organisation)<<48 | uint64(a.Class)<<40 | uint64(document)<<20
		if prefixTokens > sharedTokens {
			prefixSeed = 1<<63 | uint64(index)<<8
		}
		hashes = append(hashes, rand.New(rand.NewPCG(prefixSeed, uint64(level))).Uint64())
	}
	return hashes
}

func (r Range) sample(random *rand.Rand) int {
	low, high := math.Log(float64(r.Low)), math.Log(float64(r.High))
	return int(math.Exp(low + random.Float64()*(high-low)))
}

// pickWeighted draws an index below n with a probability proportional to its weight.
func pickWeighted(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := random.Float64() * total
	for i := range n {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

// Workloads are all workloads.
var Workloads = []Workload{Hoehlenplan, DalaShred}
