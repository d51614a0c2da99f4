// Package declarer reads and checks what operators declare: services with
// their replica groups, models, adapters and versions, and teams.
//
// Declarations live in YAML files. Inside the system each declared thing is an
// Object with a JSON body, so that a change carries only what it changes.
package declarer

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/inspector"
)

// Kinds of declared objects.
const (
	KindService = "service"
	KindTeam    = "team"
)

// Kinds of service.
const (
	ModelService = "model"
	PlainService = "plain"
)

// Declarations is the content of one or more declaration files.
type Declarations struct {
	Services []Service `yaml:"services"`
	Teams    []Team    `yaml:"teams"`
}

// Service is a model service that runs in replica groups, or a plain service.
type Service struct {
	ID identifier.Service `yaml:"id" json:"id"`
	// Kind is model or plain.
	Kind     string   `yaml:"kind" json:"kind"`
	Model    string   `yaml:"model" json:"model,omitempty"`
	Version  string   `yaml:"version" json:"version,omitempty"`
	Adapters []string `yaml:"adapters" json:"adapters,omitempty"`
	// Replicas is the number of groups wanted in each failure domain.
	Replicas map[identifier.FailureDomain]int `yaml:"replicas" json:"replicas,omitempty"`
	// VMsPerReplica is the number of VMs that form one group.
	VMsPerReplica int `yaml:"vms_per_replica" json:"vms_per_replica,omitempty"`
	// AcceleratorsPerVM is the least number that a member needs.
	AcceleratorsPerVM uint32 `yaml:"accelerators_per_vm" json:"accelerators_per_vm,omitempty"`
	// Priority decides who gets VMs when there are too few; higher goes first.
	Priority int `yaml:"priority" json:"priority,omitempty"`
	// Concurrency is the number of requests that one warm replica bears.
	Concurrency uint32 `yaml:"concurrency" json:"concurrency"`
	// ColdConcurrency is the number that a replica bears just after its start.
	ColdConcurrency uint32 `yaml:"cold_concurrency" json:"cold_concurrency"`
}

// Team is a group of callers with one key.
type Team struct {
	ID identifier.Team `yaml:"id" json:"id"`
	// KeySHA256 is the hexadecimal SHA-256 of the team's API key.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256"`
	// Weight is the team's share of a full service relative to other teams.
	Weight int `yaml:"weight" json:"weight"`
}

// Key names an object.
type Key struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

// Object is one declared thing in the form that is replicated.
type Object struct {
	Key
	Body json.RawMessage `json:"body"`
}

// Load reads the declaration files at path, a file or a folder of .yaml files.
// The error is an inspector.Findings when files are readable but wrong.
func Load(path string) (Declarations, error) {
	files, err := listFiles(path)
	if err != nil {
		return Declarations{}, err
	}
	var all Declarations
	var findings inspector.Findings
	seen := map[Key]bool{}
	for _, name := range files {
		var part Declarations
		d, err := inspector.Load(name, &part)
		if err != nil {
			return all, err
		}
		part.check(d, seen)
		findings = append(findings, d.Findings...)
		all.Services = append(all.Services, part.Services...)
		all.Teams = append(all.Teams, part.Teams...)
	}
	if len(findings) > 0 {
		return all, findings
	}
	return all, nil
}

// Parse reads declarations from memory; name is used in findings only.
func Parse(name string, data []byte) (Declarations, error) {
	var all Declarations
	d := inspector.Parse(name, data, &all)
	all.check(d, map[Key]bool{})
	return all, d.Err()
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	return filepath.Glob(filepath.Join(path, "*.yaml"))
}

func (ds *Declarations) check(d *inspector.Document, seen map[Key]bool) {
	for i := range ds.Services {
		path := []string{"services", strconv.Itoa(i)}
		s := &ds.Services[i]
		checkKey(d, path, Key{KindService, string(s.ID)}, seen)
		s.check(d, path)
	}
	for i := range ds.Teams {
		path := []string{"teams", strconv.Itoa(i)}
		t := &ds.Teams[i]
		checkKey(d, path, Key{KindTeam, string(t.ID)}, seen)
		t.check(d, path)
	}
}

func checkKey(d *inspector.Document, path []string, k Key, seen map[Key]bool) {
	if !identifier.IsValid(k.ID) {
		d.AddFinding(append(path, "id"), "%s id %q is not an id", k.Kind, k.ID)
	}
	if seen[k] {
		d.AddFinding(append(path, "id"), "%s %q is declared twice", k.Kind, k.ID)
	}
	seen[k] = true
}

func (s *Service) check(d *inspector.Document, path []string) {
	if s.Concurrency == 0 {
		d.AddFinding(path, "concurrency has to be at least 1")
	}
	if s.ColdConcurrency == 0 || s.ColdConcurrency > s.Concurrency {
		d.AddFinding(append(path, "cold_concurrency"), "cold_concurrency has to be 1 to %d", s.Concurrency)
	}
	switch s.Kind {
	case ModelService:
		s.checkModel(d, path)
	case PlainService:
		if s.Model != "" || s.VMsPerReplica != 0 || len(s.Replicas) != 0 {
			d.AddFinding(path, "a plain service has no model, replicas or vms_per_replica: its backend servers announce themselves")
		}
	default:
		d.AddFinding(append(path, "kind"), "kind %q is not one of model, plain", s.Kind)
	}
}

func (s *Service) checkModel(d *inspector.Document, path []string) {
	if s.Model == "" || s.Version == "" {
		d.AddFinding(path, "a model service needs a model and a version")
	}
	if s.VMsPerReplica < 1 {
		d.AddFinding(append(path, "vms_per_replica"), "vms_per_replica has to be at least 1")
	}
	if len(s.Replicas) == 0 {
		d.AddFinding(path, "a model service needs replicas in at least one failure domain")
	}
	for domain, n := range s.Replicas {
		if n < 0 || !identifier.IsValid(string(domain)) {
			d.AddFinding(append(path, "replicas", string(domain)), "replicas of %q has to be a number from 0 on", domain)
		}
	}
}

func (t *Team) check(d *inspector.Document, path []string) {
	const sha256Bytes = 32
	b, err := hex.DecodeString(t.KeySHA256)
	if err != nil || len(b) != sha256Bytes {
		d.AddFinding(append(path, "key_sha256"), "key_sha256 has to be %d hexadecimal digits", 2*sha256Bytes)
	}
	if t.Weight < 1 {
		d.AddFinding(append(path, "weight"), "weight has to be at least 1")
	}
}

// Objects returns the declarations as objects, sorted by key.
func (ds *Declarations) Objects() []Object {
	var objects []Object
	for _, s := range ds.Services {
		objects = append(objects, newObject(KindService, string(s.ID), s))
	}
	for _, t := range ds.Teams {
		objects = append(objects, newObject(KindTeam, string(t.ID), t))
	}
	slices.SortFunc(objects, func(a, b Object) int { return a.Compare(b.Key) })
	return objects
}

func newObject(kind, id string, v any) Object {
	body, err := json.Marshal(v)
	if err != nil {
		// The types above hold nothing that JSON cannot carry.
		panic(err)
	}
	return Object{Key: Key{Kind: kind, ID: id}, Body: body}
}

// Compare orders keys by kind and id.
func (k Key) Compare(other Key) int {
	return cmp.Or(strings.Compare(k.Kind, other.Kind), strings.Compare(k.ID, other.ID))
}

// CheckObject reports what is wrong with an object that came over the network.
func CheckObject(o Object) error {
	d := &inspector.Document{File: o.Kind + "/" + o.ID}
	seen := map[Key]bool{}
	switch o.Kind {
	case KindService:
		var s Service
		if err := json.Unmarshal(o.Body, &s); err != nil {
			return err
		}
		checkKey(d, nil, Key{o.Kind, string(s.ID)}, seen)
		s.check(d, nil)
	case KindTeam:
		var t Team
		if err := json.Unmarshal(o.Body, &t); err != nil {
			return err
		}
		checkKey(d, nil, Key{o.Kind, string(t.ID)}, seen)
		t.check(d, nil)
	default:
		d.AddFinding(nil, "kind %q is not one of service, team", o.Kind)
	}
	if !seen[o.Key] && len(d.Findings) == 0 {
		d.AddFinding(nil, "the id in the body differs from %q", o.ID)
	}
	return d.Err()
}

// Diff compares two sorted lists of objects.
type Diff struct {
	Put    []Object
	Remove []Key
}

// ComputeDiff returns the change that turns have into want.
func ComputeDiff(have, want []Object) Diff {
	var diff Diff
	old := map[Key]string{}
	for _, o := range have {
		old[o.Key] = string(o.Body)
	}
	for _, o := range want {
		if body, ok := old[o.Key]; !ok || body != string(o.Body) {
			diff.Put = append(diff.Put, o)
		}
		delete(old, o.Key)
	}
	for k := range old {
		diff.Remove = append(diff.Remove, k)
	}
	slices.SortFunc(diff.Remove, Key.Compare)
	return diff
}
