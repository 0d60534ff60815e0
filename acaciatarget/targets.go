package acaciatarget

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Targets are one version of what operators declare.
	Targets struct {
		Services      []Service      `toml:"service"`
		Classes       []Class        `toml:"class"`
		Organisations []Organisation `toml:"organisation"`
	}

	// Service is something that callers may ask for.
	Service struct {
		Name string `toml:"name"`
		// Kind is model or plain.
		Kind string `toml:"kind"`
		// Models lists the models of a model service.
		Models []string `toml:"models"`
	}

	// Class is a class of work with its targets.
	Class struct {
		Name     string   `toml:"name"`
		Services []string `toml:"services"`
		// YieldOrder says who yields first when capacity runs short: 1 first.
		YieldOrder int `toml:"yield_order"`
		// ServedShare is the share of requests that must meet the targets.
		ServedShare float64 `toml:"served_share"`
		// FirstToken is the time until the first token or byte of an answer.
		FirstToken acaciatoml.Duration `toml:"first_token"`
		// TokenGap is the time between tokens.
		TokenGap acaciatoml.Duration `toml:"token_gap"`
		// WholeTime is the time until the whole answer.
		WholeTime acaciatoml.Duration `toml:"whole_time"`
		// Repeatable tells that a model request without an idempotency key may be
		// dispatched again while its caller has nothing of an answer.
		Repeatable bool `toml:"repeatable"`
	}

	// Organisation is a customer.
	Organisation struct {
		Name string `toml:"name"`
		// KeyHashes are the SHA-256 hashes of the keys of its callers, in hex.
		KeyHashes []string `toml:"key_hashes"`
		// Classes are the classes that it may use; the first that fits a service
		// is its default there.
		Classes []string `toml:"classes"`
	}
)

const (
	// KindModel is a service of model engines.
	KindModel = "model"
	// KindPlain is a plain service.
	KindPlain = "plain"

	maxClasses       = 64
	maxOrganisations = 10_000
)

// Parse reads and checks targets; an error has CodeBadTargets and names all mistakes.
func Parse(data []byte) (*Targets, error) {
	targets := &Targets{}
	document, err := acaciatoml.Decode(acaciaroute.CodeBadTargets, data, targets)
	if err != nil {
		return nil, err
	}
	targets.checkSizes(document)
	targets.checkServices(document)
	targets.checkClasses(document)
	targets.checkOrganisations(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return targets, nil
}

// Service returns a service by name.
func (t *Targets) Service(name string) (Service, bool) {
	index := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if index < 0 {
		return Service{}, false
	}
	return t.Services[index], true
}

// ServiceOfModel returns the service that serves a model.
func (t *Targets) ServiceOfModel(model string) (Service, bool) {
	index := slices.IndexFunc(t.Services, func(s Service) bool { return slices.Contains(s.Models, model) })
	if index < 0 {
		return Service{}, false
	}
	return t.Services[index], true
}

// Class returns a class by name.
func (t *Targets) Class(name string) (Class, bool) {
	index := slices.IndexFunc(t.Classes, func(c Class) bool { return c.Name == name })
	if index < 0 {
		return Class{}, false
	}
	return t.Classes[index], true
}

// OrganisationOfKey returns the organisation to which a caller's key belongs. It
// compares with every hash, so that its time does not depend on the key.
func (t *Targets) OrganisationOfKey(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	presented := []byte(hex.EncodeToString(sum[:]))
	found := -1
	for i := range t.Organisations {
		for _, hash := range t.Organisations[i].KeyHashes {
			if subtle.ConstantTimeCompare(presented, []byte(hash)) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Organisation{}, false
	}
	return t.Organisations[found], true
}

// ClassFor returns the class of an organisation's request to a service; name is
// the class that the caller asked for, or empty.
func (t *Targets) ClassFor(organisation Organisation, service, name string) (Class, error) {
	if name != "" {
		return t.namedClass(organisation, service, name)
	}
	for _, allowed := range organisation.Classes {
		if class, ok := t.Class(allowed); ok && slices.Contains(class.Services, service) {
			return class, nil
		}
	}
	return Class{}, acaciaroute.Errorf(acaciaroute.CodeClassForbidden, "organisation %s has no class for service %s", organisation.Name, service)
}

// YieldsFirst reports whether no class of a service yields before this one.
func (t *Targets) YieldsFirst(class Class, service string) bool {
	for _, other := range t.Classes {
		if other.YieldOrder < class.YieldOrder && slices.Contains(other.Services, service) {
			return false
		}
	}
	return true
}

// TimeToFirst returns the class's target for the first token or byte.
func (c Class) TimeToFirst() time.Duration {
	return time.Duration(c.FirstToken)
}

func (t *Targets) namedClass(organisation Organisation, service, name string) (Class, error) {
	class, ok := t.Class(name)
	if !ok {
		return Class{}, acaciaroute.Errorf(acaciaroute.CodeUnknownClass, "class %s is not declared", name)
	}
	if !slices.Contains(class.Services, service) {
		return Class{}, acaciaroute.Errorf(acaciaroute.CodeClassForbidden, "class %s is not for service %s", name, service)
	}
	if !slices.Contains(organisation.Classes, name) {
		return Class{}, acaciaroute.Errorf(acaciaroute.CodeClassForbidden, "organisation %s may not use class %s", organisation.Name, name)
	}
	return class, nil
}

func (t *Targets) checkSizes(document *acaciatoml.Document) {
	if len(t.Services) == 0 {
		document.Add("service", "at least one is needed")
	}
	if len(t.Classes) == 0 || len(t.Classes) > maxClasses {
		document.Add("class", "between 1 and %d are needed", maxClasses)
	}
	if len(t.Organisations) == 0 || len(t.Organisations) > maxOrganisations {
		document.Add("organisation", "between 1 and %d are needed", maxOrganisations)
	}
}

func (t *Targets) checkServices(document *acaciatoml.Document) {
	names := map[string]bool{}
	models := map[string]bool{}
	for i, service := range t.Services {
		table := fmt.Sprintf("service[%d]", i)
		if !document.Require(table, "name", "kind") {
			continue
		}
		unique(document, table+".name", service.Name, names)
		if service.Kind != KindModel && service.Kind != KindPlain {
			document.Add(table+".kind", "must be %q or %q", KindModel, KindPlain)
		}
		if (service.Kind == KindModel) != (len(service.Models) > 0) {
			document.Add(table+".models", "model services have models and plain ones have none")
		}
		for _, model := range service.Models {
			unique(document, table+".models", model, models)
		}
	}
}

func (t *Targets) checkClasses(document *acaciatoml.Document) {
	names := map[string]bool{}
	for i, class := range t.Classes {
		table := fmt.Sprintf("class[%d]", i)
		if !document.Require(table, "name", "services", "yield_order", "served_share", "first_token", "whole_time") {
			continue
		}
		unique(document, table+".name", class.Name, names)
		class.check(document, table)
		for _, name := range class.Services {
			if _, ok := t.Service(name); !ok {
				document.Add(table+".services", "service %q is not declared", name)
			}
		}
	}
}

func (c Class) check(document *acaciatoml.Document, table string) {
	switch {
	case c.YieldOrder < 1:
		document.Add(table+".yield_order", "must be 1 or more")
	case c.ServedShare <= 0 || c.ServedShare > 1:
		document.Add(table+".served_share", "must be above 0 and at most 1")
	case c.FirstToken <= 0:
		document.Add(table+".first_token", "must be positive")
	case c.TokenGap < 0:
		document.Add(table+".token_gap", "must be positive")
	case c.WholeTime < c.FirstToken:
		document.Add(table+".whole_time", "must be at least first_token")
	case len(c.Services) == 0:
		document.Add(table+".services", "at least one is needed")
	}
}

func (t *Targets) checkOrganisations(document *acaciatoml.Document) {
	names := map[string]bool{}
	hashes := map[string]bool{}
	for i, organisation := range t.Organisations {
		table := fmt.Sprintf("organisation[%d]", i)
		if !document.Require(table, "name", "key_hashes", "classes") {
			continue
		}
		unique(document, table+".name", organisation.Name, names)
		for _, hash := range organisation.KeyHashes {
			raw, err := hex.DecodeString(hash)
			if err != nil || len(raw) != sha256.Size || hash != hex.EncodeToString(raw) {
				document.Add(table+".key_hashes", "%q is no SHA-256 hash in lower-case hex", hash)
				continue
			}
			unique(document, table+".key_hashes", hash, hashes)
		}
		for _, class := range organisation.Classes {
			if _, ok := t.Class(class); !ok {
				document.Add(table+".classes", "class %q is not declared", class)
			}
		}
	}
}

func unique(document *acaciatoml.Document, key, name string, seen map[string]bool) {
	if name == "" {
		document.Add(key, "must not be empty")
		return
	}
	if seen[name] {
		document.Add(key, "%q is declared twice", name)
	}
	seen[name] = true
}
