package acaciatarget

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Targets are one version of the services, classes and organisations that
	// operators declare.
	Targets struct {
		Services      []Service      `toml:"service"`
		Classes       []Class        `toml:"class"`
		Organisations []Organisation `toml:"organisation"`
	}

	// Service is a service that callers can send requests to.
	Service struct {
		Name string `toml:"name"`
		// Kind is KindModel or KindPlain.
		Kind string `toml:"kind"`
		// Models lists the models of a model service.
		Models []string `toml:"models"`
	}

	// Class is a class of requests with its service-level targets.
	Class struct {
		Name     string   `toml:"name"`
		Services []string `toml:"services"`
		// YieldOrder is the order in which classes give way when capacity is short:
		// 1 gives way first.
		YieldOrder int `toml:"yield_order"`
		// ServedShare is the share of requests that must meet the targets, above 0
		// and at most 1.
		ServedShare float64 `toml:"served_share"`
		// FirstToken is the target time until the first token or byte of an answer.
		FirstToken acaciatoml.Duration `toml:"first_token"`
		// TokenGap is the target time between tokens; zero for none.
		TokenGap acaciatoml.Duration `toml:"token_gap"`
		// WholeTime is the target time until the answer is complete.
		WholeTime acaciatoml.Duration `toml:"whole_time"`
		// Repeatable reports whether a model request without an idempotency key may be
		// dispatched again as long as its caller has received no part of an answer.
		Repeatable bool `toml:"repeatable"`
	}

	// Organisation is a customer.
	Organisation struct {
		Name string `toml:"name"`
		// KeyHashes are the SHA-256 hashes of its callers' API keys, in lower-case
		// hexadecimal.
		KeyHashes []string `toml:"key_hashes"`
		// Classes are the classes that it may use. The first of them that covers a
		// service is its default for that service.
		Classes []string `toml:"classes"`
	}
)

const (
	// KindModel is the kind of a service that model engines serve.
	KindModel = "model"
	// KindPlain is the kind of a plain HTTP service.
	KindPlain = "plain"

	maxClasses       = 64
	maxOrganisations = 10_000
	// maxTime lets sums of times, and their microseconds in messages, fit.
	maxTime = acaciatoml.Duration(365 * 24 * time.Hour)
)

// Parse parses and checks targets. An error has CodeBadTargets and lists all problems.
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

// Service returns the service with the given name and reports whether there is one.
func (t *Targets) Service(name string) (Service, bool) {
	index := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if index < 0 {
		return Service{}, false
	}
	return t.Services[index], true
}

// ServiceOfModel returns the service that serves a model and reports whether there is one.
func (t *Targets) ServiceOfModel(model string) (Service, bool) {
	index := slices.IndexFunc(t.Services, func(s Service) bool { return slices.Contains(s.Models, model) })
	if index < 0 {
		return Service{}, false
	}
	return t.Services[index], true
}

// Class returns the class with the given name and reports whether there is one.
func (t *Targets) Class(name string) (Class, bool) {
	index := slices.IndexFunc(t.Classes, func(c Class) bool { return c.Name == name })
	if index < 0 {
		return Class{}, false
	}
	return t.Classes[index], true
}

// OrganisationOfKey returns the organisation to which an API key belongs and reports
// whether there is one. It compares the key with every hash, so that its run time does
// not depend on the key.
func (t *Targets) OrganisationOfKey(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	presentedHash := []byte(hex.EncodeToString(sum[:]))
	foundIndex := -1
	for i := range t.Organisations {
		for _, keyHash := range t.Organisations[i].KeyHashes {
			if subtle.ConstantTimeCompare(presentedHash, []byte(keyHash)) == 1 {
				foundIndex = i
			}
		}
	}
	if foundIndex < 0 {
		return Organisation{}, false
	}
	return t.Organisations[foundIndex], true
}

// ClassFor returns the class of an organisation's request to a service. The name is
// the class that the caller asked for, or empty for the organisation's default.
func (t *Targets) ClassFor(organisation Organisation, service, name string) (Class, error) {
	if name != "" {
		return t.requestedClass(organisation, service, name)
	}
	for _, allowed := range organisation.Classes {
		if class, ok := t.Class(allowed); ok && slices.Contains(class.Services, service) {
			return class, nil
		}
	}
	return Class{}, acaciaroute.Errorf(acaciaroute.CodeClassForbidden, "organisation %s has no class for service %s", organisation.Name, service)
}

// IsLowestClass reports whether no other class of the service gives way before this
// one.
func (t *Targets) IsLowestClass(class Class, service string) bool {
	for _, other := range t.Classes {
		if other.YieldOrder < class.YieldOrder && slices.Contains(other.Services, service) {
			return false
		}
	}
	return true
}

// FirstTokenTarget returns the class's target time until the first token or byte.
func (c Class) FirstTokenTarget() time.Duration {
	return time.Duration(c.FirstToken)
}

// requestedClass returns the class that a caller asked for by name, if the organisation
// may use it for the service.
func (t *Targets) requestedClass(organisation Organisation, service, name string) (Class, error) {
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
		document.AddProblem("service", "at least one is needed")
	}
	if len(t.Classes) == 0 || len(t.Classes) > maxClasses {
		document.AddProblem("class", "between 1 and %d are needed", maxClasses)
	}
	if len(t.Organisations) == 0 || len(t.Organisations) > maxOrganisations {
		document.AddProblem("organisation", "between 1 and %d are needed", maxOrganisations)
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
		checkUnique(document, table+".name", service.Name, names)
		if service.Kind != KindModel && service.Kind != KindPlain {
			document.AddProblem(table+".kind", "must be %q or %q", KindModel, KindPlain)
		}
		if (service.Kind == KindModel) != (len(service.Models) > 0) {
			document.AddProblem(table+".models", "a model service must have models and a plain service must have none")
		}
		for _, model := range service.Models {
			checkUnique(document, table+".models", model, models)
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
		checkUnique(document, table+".name", class.Name, names)
		class.check(document, table)
		for _, name := range class.Services {
			if _, ok := t.Service(name); !ok {
				document.AddProblem(table+".services", "service %q is not declared", name)
			}
		}
	}
}

func (c Class) check(document *acaciatoml.Document, table string) {
	switch {
	case c.YieldOrder < 1:
		document.AddProblem(table+".yield_order", "must be 1 or more")
	case c.YieldOrder > math.MaxInt32:
		document.AddProblem(table+".yield_order", "must be at most %d", math.MaxInt32)
	case !(c.ServedShare > 0 && c.ServedShare <= 1):
		document.AddProblem(table+".served_share", "must be above 0 and at most 1")
	case c.FirstToken <= 0:
		document.AddProblem(table+".first_token", "must be positive")
	case c.TokenGap < 0:
		document.AddProblem(table+".token_gap", "must not be negative")
	case c.WholeTime < c.FirstToken:
		document.AddProblem(table+".whole_time", "must be at least first_token")
	case c.TokenGap > maxTime:
		document.AddProblem(table+".token_gap", "must be at most %v", time.Duration(maxTime))
	case c.WholeTime > maxTime:
		document.AddProblem(table+".whole_time", "must be at most %v", time.Duration(maxTime))
	case len(c.Services) == 0:
		document.AddProblem(table+".services", "at least one is needed")
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
		checkUnique(document, table+".name", organisation.Name, names)
		for _, hash := range organisation.KeyHashes {
			raw, err := hex.DecodeString(hash)
			if err != nil || len(raw) != sha256.Size || hash != hex.EncodeToString(raw) {
				document.AddProblem(table+".key_hashes", "%q is not a SHA-256 hash in lower-case hexadecimal", hash)
				continue
			}
			checkUnique(document, table+".key_hashes", hash, hashes)
		}
		for _, class := range organisation.Classes {
			if _, ok := t.Class(class); !ok {
				document.AddProblem(table+".classes", "class %q is not declared", class)
			}
		}
	}
}

// checkUnique adds a problem with key if name is empty or already in seen, and adds the
// name to seen.
func checkUnique(document *acaciatoml.Document, key, name string, seen map[string]bool) {
	if name == "" {
		document.AddProblem(key, "must not be empty")
		return
	}
	if seen[name] {
		document.AddProblem(key, "%q is declared twice", name)
	}
	seen[name] = true
}
