package acaciasetting

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Settings are the whole file of one process.
	Settings struct {
		Process  Process  `toml:"process"`
		Platform Platform `toml:"platform"`
		Entry    *Entry   `toml:"entry"`
		Agent    *Agent   `toml:"agent"`
	}

	// Process says who and where the process is.
	Process struct {
		// ID is the ID of the VM in the platform's list.
		ID string `toml:"id"`
		// Address is where other processes and operators reach it, as IP:port.
		Address string `toml:"address"`
		// DataCentre and Region say where the VM stands.
		DataCentre string `toml:"data_centre"`
		Region     string `toml:"region"`
		// Metrics is where metrics are served besides Address, as IP:port; empty for
		// nowhere else.
		Metrics string `toml:"metrics"`
		// LogLinesPerSecond bounds the log lines of each event in a second; ten times
		// as many for failures.
		LogLinesPerSecond int `toml:"log_lines_per_second"`
		// DrainTime bounds a graceful stop.
		DrainTime acaciatoml.Duration `toml:"drain_time"`
	}

	// Platform says where the platform's services are.
	Platform struct {
		Log    string `toml:"log"`
		VMList string `toml:"vm_list"`
		// WeightStore is the weight store; without it the process gives no orders to
		// engines.
		WeightStore string `toml:"weight_store"`
		// LinkBytesPerSecond is what the link to other regions carries each way for
		// requests and answers; zero for no bound.
		LinkBytesPerSecond int64 `toml:"link_bytes_per_second"`
		// LogRetention is how long the log keeps records.
		LogRetention acaciatoml.Duration `toml:"log_retention"`
	}

	// Entry holds the settings of an entry.
	Entry struct {
		// Listen is where callers reach the entry, as IP:port.
		Listen string `toml:"listen"`
		// MaxBodyBytes bounds a request body.
		MaxBodyBytes int64 `toml:"max_body_bytes"`
		// BodyTimeout bounds how long a caller may take to send a request.
		BodyTimeout acaciatoml.Duration `toml:"body_timeout"`
	}

	// Agent holds the settings of an agent.
	Agent struct {
		// Kind is model or plain.
		Kind string `toml:"kind"`
		// Endpoint is the base URL of the endpoint.
		Endpoint string `toml:"endpoint"`
		// PlainLimit is how many calls a plain service runs at once.
		PlainLimit int `toml:"plain_limit"`
		// CacheTokens is the size of the engine's prefix cache.
		CacheTokens int `toml:"cache_tokens"`
		// ChecksFencing tells that the engine refuses orders with old fencing
		// numbers.
		ChecksFencing bool `toml:"checks_fencing"`
		// AnswerBytes bounds the answers kept for callers that come back.
		AnswerBytes int64 `toml:"answer_bytes"`
	}
)

const (
	// KindModel is an agent before a model engine.
	KindModel = "model"
	// KindPlain is an agent before a plain service.
	KindPlain = "plain"

	defaultLogLines     = 100
	defaultMaxBodyBytes = 4 << 20
	defaultBodyTimeout  = acaciatoml.Duration(20 * time.Second)
	defaultDrainTime    = acaciatoml.Duration(2 * time.Minute)
	defaultAnswerBytes  = 64 << 20
	defaultRetention    = acaciatoml.Duration(time.Hour)
)

// Load reads and checks the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &acaciaroute.Error{Code: acaciaroute.CodeBadSettings, Detail: "settings cannot be read", Err: err}
	}
	return Parse(data)
}

// Parse reads and checks settings; an error has CodeBadSettings and names all mistakes.
func Parse(data []byte) (Settings, error) {
	settings := Settings{}
	document, err := acaciatoml.Decode(acaciaroute.CodeBadSettings, data, &settings)
	if err != nil {
		return Settings{}, err
	}
	settings.checkProcess(document)
	settings.checkPlatform(document)
	settings.checkRole(document)
	settings.checkEntry(document)
	settings.checkAgent(document)
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func (s *Settings) checkProcess(document *acaciatoml.Document) {
	if !document.Require("process", "id", "address", "data_centre", "region") {
		return
	}
	if s.Process.DrainTime == 0 {
		s.Process.DrainTime = defaultDrainTime
	}
	if s.Process.DrainTime < 0 {
		document.Add("process.drain_time", "must be positive")
	}
	if s.Process.LogLinesPerSecond == 0 {
		s.Process.LogLinesPerSecond = defaultLogLines
	}
	if s.Process.LogLinesPerSecond < 0 {
		document.Add("process.log_lines_per_second", "must be positive")
	}
	if s.Process.Metrics != "" {
		checkAddress(document, "process.metrics", s.Process.Metrics)
	}
	checkAddress(document, "process.address", s.Process.Address)
}

func (s *Settings) checkPlatform(document *acaciatoml.Document) {
	if !document.Require("platform", "log", "vm_list") {
		return
	}
	if s.Platform.LogRetention == 0 {
		s.Platform.LogRetention = defaultRetention
	}
	if s.Platform.LinkBytesPerSecond < 0 {
		document.Add("platform.link_bytes_per_second", "must be positive")
	}
	if s.Platform.LogRetention < 0 {
		document.Add("platform.log_retention", "must be positive")
	}
	checkURL(document, "platform.log", s.Platform.Log)
	if s.Platform.WeightStore != "" {
		checkURL(document, "platform.weight_store", s.Platform.WeightStore)
	}
	checkURL(document, "platform.vm_list", s.Platform.VMList)
}

func (s *Settings) checkRole(document *acaciatoml.Document) {
	if (s.Entry == nil) == (s.Agent == nil) {
		document.Add("entry", "exactly one of the tables entry and agent is needed")
	}
}

func (s *Settings) checkEntry(document *acaciatoml.Document) {
	if s.Entry == nil {
		return
	}
	if !document.Require("entry", "listen") {
		return
	}
	if s.Entry.MaxBodyBytes == 0 {
		s.Entry.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.Entry.MaxBodyBytes < 0 {
		document.Add("entry.max_body_bytes", "must be positive")
	}
	if s.Entry.BodyTimeout == 0 {
		s.Entry.BodyTimeout = defaultBodyTimeout
	}
	if s.Entry.BodyTimeout < 0 {
		document.Add("entry.body_timeout", "must be positive")
	}
	checkAddress(document, "entry.listen", s.Entry.Listen)
}

func (s *Settings) checkAgent(document *acaciatoml.Document) {
	if s.Agent == nil {
		return
	}
	if !document.Require("agent", "kind", "endpoint") {
		return
	}
	if s.Agent.Kind != KindModel && s.Agent.Kind != KindPlain {
		document.Add("agent.kind", "must be %q or %q", KindModel, KindPlain)
	}
	if s.Agent.PlainLimit < 0 {
		document.Add("agent.plain_limit", "must be positive")
	}
	if s.Agent.CacheTokens < 0 {
		document.Add("agent.cache_tokens", "must be positive")
	}
	if s.Agent.AnswerBytes == 0 {
		s.Agent.AnswerBytes = defaultAnswerBytes
	}
	if s.Agent.AnswerBytes < 0 {
		document.Add("agent.answer_bytes", "must be positive")
	}
	checkURL(document, "agent.endpoint", s.Agent.Endpoint)
}

func checkAddress(document *acaciatoml.Document, key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		document.Add(key, "must be IP:port, not %q", address)
	}
}

func checkURL(document *acaciatoml.Document, key, address string) {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		document.Add(key, "must be an http or https URL, not %q", address)
	}
}
