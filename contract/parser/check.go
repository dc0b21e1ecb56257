package parser

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	"foxtaillug.org/contract"
)

// Problem is one error in a document, at a path within it.
type Problem struct {
	path    string
	message string
	hint    string
}

// Path returns where the problem is, such as upstreams[3].domain.
func (p Problem) Path() string { return p.path }

// Message returns what is wrong.
func (p Problem) Message() string { return p.message }

// keyHashBytes is the length of a decoded key hash, in bytes.
const keyHashBytes = 32

// checker checks a document and collects its problems.
type checker struct {
	doc      contract.Document
	problems []Problem
	regions  names
	domains  names
	tiers    names
	models   names
	services names
}

// names are the names that one section defines.
type names map[string]bool

// Check returns all problems of a document.
func Check(doc contract.Document) []Problem {
	c := &checker{doc: doc}
	if doc.Version == 0 {
		c.add("version", "a version number above 0 is needed", "raise it with every change")
	}
	c.checkSections()
	c.checkUpstreams()
	c.checkWorkspaces()
	c.checkLimits()
	c.checkDrains()
	if _, err := contract.NewDirectory(contract.Document{Attended: doc.Attended}); err != nil {
		c.add("attended", err.Error(), "")
	}
	return c.problems
}

// add records a problem.
func (c *checker) add(path, message, hint string) {
	c.problems = append(c.problems, Problem{path: path, message: message, hint: hint})
}

// checkNames returns the names that a section defines, and records those that are
// duplicate or missing.
func checkNames[T any](c *checker, section string, items []T, name func(T) string) names {
	defined := make(names, len(items))
	for i, item := range items {
		n := name(item)
		path := fmt.Sprintf("%s[%d]", section, i)
		switch {
		case n == "":
			c.add(path, "name is missing", "")
		case defined[n]:
			c.add(path+".name", fmt.Sprintf("duplicate name %q", n), "names are unique within "+section)
		}
		defined[n] = true
	}
	return defined
}

// checkReference records a problem if a name is not defined in the section it refers to.
func (c *checker) checkReference(path, name string, defined names, section string) {
	if !defined[name] {
		c.add(path, fmt.Sprintf("%q is not in %s", name, section), nearest(name, defined))
	}
}

// checkSections checks the sections that other sections refer to.
func (c *checker) checkSections() {
	d := c.doc
	c.regions = checkNames(c, "regions", d.Regions, func(r contract.Region) string { return r.Name })
	c.domains = checkNames(c, "domains", d.Domains, func(r contract.Domain) string { return r.Name })
	c.tiers = checkNames(c, "tiers", d.Tiers, func(t contract.Tier) string { return t.Name })
	c.models = checkNames(c, "models", d.Models, func(m contract.Model) string { return m.Name })
	c.services = checkNames(c, "services", d.Services, func(s contract.Service) string { return s.Name })
	for i, dom := range d.Domains {
		c.checkReference(fmt.Sprintf("domains[%d].region", i), dom.Region, c.regions, "regions")
	}
	for i, link := range d.Links {
		c.checkReference(fmt.Sprintf("links[%d].from", i), link.From, c.regions, "regions")
		c.checkReference(fmt.Sprintf("links[%d].to", i), link.To, c.regions, "regions")
	}
	if len(d.Tiers) == 0 {
		c.add("tiers", "at least one tier is needed", "")
	}
	for i, t := range d.Tiers {
		if t.WaitSeconds < 0 {
			c.add(fmt.Sprintf("tiers[%d].waitSeconds", i), "must not be negative", "")
		}
	}
}

// checkUpstreams checks the upstreams.
func (c *checker) checkUpstreams() {
	checkNames(c, "upstreams", c.doc.Upstreams, func(u contract.Upstream) string { return u.Name })
	addresses := make(map[string]string, len(c.doc.Upstreams))
	for i, u := range c.doc.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.checkReference(path+".domain", u.Domain, c.domains, "domains")
		c.checkServed(path, u)
		c.checkSlotLimits(path, u)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.add(path+".address", fmt.Sprintf("%q is not an IP address and port", u.Address), "such as 10.0.3.7:8000")
			continue
		}
		if other, ok := addresses[u.Address]; ok {
			c.add(path+".address", fmt.Sprintf("%s is already the address of %s", u.Address, other), "list each address once, so that its limit holds")
		}
		addresses[u.Address] = u.Name
	}
}

// checkServed checks the model or the service that an upstream serves.
func (c *checker) checkServed(path string, u contract.Upstream) {
	switch {
	case u.Service == "" && len(u.Models) == 0:
		c.add(path, "upstream serves neither models nor a service", "set models or service")
	case u.Service != "" && len(u.Models) > 0:
		c.add(path+".service", "upstream can't serve both models and a service", "set one of them")
	case u.Service != "":
		c.checkReference(path+".service", u.Service, c.services, "services")
	case len(u.Models) > 1:
		c.add(path+".models", "upstream lists more than one model", "define one upstream for each model, each with its own limit")
	}
	for j, m := range u.Models {
		c.checkReference(fmt.Sprintf("%s.models[%d]", path, j), m, c.models, "models")
	}
}

// checkSlotLimits checks an upstream's limits.
func (c *checker) checkSlotLimits(path string, u contract.Upstream) {
	if u.Limit < 1 {
		c.add(path+".limit", "must be at least 1", "")
	}
	if u.ColdLimit < 1 || u.ColdLimit > u.Limit {
		c.add(path+".coldLimit", fmt.Sprintf("must be from 1 to limit (%d)", u.Limit), "how many requests it can run in cold start")
	}
	if u.WarmUpSeconds < 0 {
		c.add(path+".warmUpSeconds", "must not be negative", "")
	}
}

// checkWorkspaces checks the workspaces.
func (c *checker) checkWorkspaces() {
	checkNames(c, "workspaces", c.doc.Workspaces, func(w contract.Workspace) string { return w.Name })
	owners := make(map[string]string)
	for i, w := range c.doc.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkReference(path+".tier", w.Tier, c.tiers, "tiers")
		if w.Concurrency < 0 {
			c.add(path+".concurrency", "must not be negative", "0 means no limit")
		}
		for j, hash := range w.KeyHashes {
			at := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			if b, err := hex.DecodeString(hash); err != nil || len(b) != keyHashBytes {
				c.add(at, "not a key hash", "create one with foxtailctl keygen")
			}
			if other, ok := owners[hash]; ok {
				c.add(at, "workspace "+other+" already uses this key hash", "")
			}
			owners[hash] = w.Name
		}
	}
}

// checkLimits checks the limits of a host.
func (c *checker) checkLimits() {
	if c.doc.Limits.BodyBytes < 0 {
		c.add("limits.bodyBytes", "must not be negative", "")
	}
	if c.doc.Limits.Queue < 0 {
		c.add("limits.queue", "must not be negative", "")
	}
}

// checkDrains checks that the drained failure domains and upstreams exist.
func (c *checker) checkDrains() {
	for i, name := range c.doc.Drains.Domains {
		c.checkReference(fmt.Sprintf("drains.domains[%d]", i), name, c.domains, "domains")
	}
	upstreams := make(names, len(c.doc.Upstreams))
	for _, u := range c.doc.Upstreams {
		upstreams[u.Name] = true
	}
	for i, name := range c.doc.Drains.Upstreams {
		c.checkReference(fmt.Sprintf("drains.upstreams[%d]", i), name, upstreams, "upstreams")
	}
}

// maxDistance is the largest edit distance at which a name is suggested.
const maxDistance = 3

// nearest returns a hint that suggests the most similar defined name, or "" if
// none is similar.
func nearest(name string, defined names) string {
	best, least := "", maxDistance+1
	for n := range defined {
		if d := distance(name, n); d < least || (d == least && n < best) {
			best, least = n, d
		}
	}
	if best == "" || name == "" {
		return ""
	}
	return "did you mean " + best + "?"
}

// distance returns the case-insensitive edit distance of two names.
func distance(a, b string) int {
	a, b = strings.ToLower(a), strings.ToLower(b)
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
