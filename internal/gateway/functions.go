package gateway

import (
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/scheduler"
)

// A Function is what calls name. It must not be changed.
type Function struct {
	// Name is the configured one, one that matches a pattern, or "model@version".
	Name string
	// Digest of the bytes, where the registry names them: only answers of these are delivered.
	Digest string
	// IsModel says that it is a model: its versions are called, not it.
	IsModel bool
	// ID is the hash of the name; 0 for a model.
	ID scheduler.FunctionID
	// Class is an index of Settings.Classes.
	Class int
	// MemoryMB is how much memory one copy takes.
	MemoryMB float64
	// Lanes is how many calls one copy runs at a time.
	Lanes float64
	// LoadTime is how long a load takes.
	LoadTime time.Duration
}

// A FunctionSpec is what the configuration says of a function, or of all whose names have a prefix. The fields that Function
// has as well mean the same.
type FunctionSpec struct {
	Name     string // a name, or a prefix and a star
	Class    int
	MemoryMB float64
	Lanes    float64
	LoadTime time.Duration
	MaxNames int // names that may become known under a star
	IsModel  bool
}

const (
	// maxVersions is how many versions of models are kept.
	maxVersions = 1000
	// maxPatternName is the length in bytes of the longest name that a pattern matches.
	maxPatternName = 128
)

// Functions finds functions by name. Names under a star become known when they are first called, up to a bound: an
// unbounded set of names would let a client fill the dispatcher's memory. It is safe for concurrent use.
type Functions struct {
	gateway *Gateway

	mu       sync.RWMutex // guards the fields below
	known    map[string]*Function
	patterns []namePattern
	// versions in use, at most maxVersions: beyond it the least recently used is forgotten.
	versions    map[versionKey]*version
	maxVersions int

	useCount atomic.Int64 // a logical clock of uses of versions
}

type namePattern struct {
	FunctionSpec     // Name is the prefix
	taken        int // names that have become known
}

type versionKey struct{ model, version string }

type version struct {
	Function
	lastUse atomic.Int64 // by Functions.useCount
}

// NewFunctions makes the functions named by the specs known to the gateway. Two names with one hash are an error.
func NewFunctions(g *Gateway, specs []FunctionSpec) (*Functions, error) {
	f := &Functions{
		gateway:     g,
		known:       map[string]*Function{},
		versions:    map[versionKey]*version{},
		maxVersions: maxVersions,
	}
	for _, s := range specs {
		if prefix, ok := strings.CutSuffix(s.Name, "*"); ok {
			s.Name = prefix
			f.patterns = append(f.patterns, namePattern{FunctionSpec: s})
			continue
		}
		if _, err := f.add(s.Name, s); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// add makes a function known. The caller holds f.mu, or is alone.
func (f *Functions) add(name string, s FunctionSpec) (*Function, error) {
	fn := &Function{
		Name:     name,
		Class:    s.Class,
		MemoryMB: s.MemoryMB,
		Lanes:    s.Lanes,
		LoadTime: s.LoadTime,
		IsModel:  s.IsModel,
	}
	if !s.IsModel {
		var err error
		if fn.ID, err = f.gateway.AddFunction(name); err != nil {
			return nil, err
		}
	}
	f.known[name] = fn
	return fn, nil
}

// Find returns the function of a name, or nil if there is none or the bound of its pattern is reached.
func (f *Functions) Find(name string) *Function {
	f.mu.RLock()
	fn := f.known[name]
	f.mu.RUnlock()
	if fn != nil || len(f.patterns) == 0 || len(name) > maxPatternName {
		return fn
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if fn := f.known[name]; fn != nil {
		return fn
	}
	for i := range f.patterns {
		p := &f.patterns[i]
		if strings.HasPrefix(name, p.Name) && p.taken < p.MaxNames {
			fn, err := f.add(name, p.FunctionSpec)
			if err != nil {
				f.gateway.cfg.Log.Error().Err(err).Msg("function rejected")
				return nil
			}
			p.taken++
			return fn
		}
	}
	return nil
}

// Spec returns what is configured for a name, known or not. Unlike Find it makes no name known: advice must not use up
// the bound of a pattern.
func (f *Functions) Spec(name string) (FunctionSpec, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if fn := f.known[name]; fn != nil {
		return FunctionSpec{
			Name:     name,
			Class:    fn.Class,
			MemoryMB: fn.MemoryMB,
			Lanes:    fn.Lanes,
			LoadTime: fn.LoadTime,
			IsModel:  fn.IsModel,
		}, true
	}
	for i := range f.patterns {
		if p := &f.patterns[i]; len(name) <= maxPatternName && strings.HasPrefix(name, p.Name) {
			return p.FunctionSpec, true
		}
	}
	return FunctionSpec{}, false
}

// Version returns a version of a model as a function of its own, named "model@version". All controllers name it alike,
// so its home is the same for all. Two names with one hash are an error.
func (f *Functions) Version(model *Function, name, digest string) (*Function, error) {
	key := versionKey{model.Name, name}
	f.mu.RLock()
	v := f.versions[key]
	f.mu.RUnlock()
	if v != nil && v.Digest == digest {
		f.touch(v)
		return &v.Function, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.versions) >= f.maxVersions {
		f.evictVersion()
	}
	v = &version{Function: *model}
	v.Name = model.Name + "@" + name
	v.Digest = digest
	v.IsModel = false
	var err error
	if v.ID, err = f.gateway.addVersion(v.Name, digest); err != nil {
		return nil, err
	}
	f.touch(v)
	f.versions[key] = v
	return &v.Function, nil
}

// touch notes a use of a version.
func (f *Functions) touch(v *version) { v.lastUse.Store(f.useCount.Add(1)) }

// evictVersion forgets the version that was used longest ago. The caller holds f.mu.
func (f *Functions) evictVersion() {
	var oldest versionKey
	lastUse := int64(math.MaxInt64)
	for key, v := range f.versions {
		if u := v.lastUse.Load(); u < lastUse {
			oldest = key
			lastUse = u
		}
	}
	f.gateway.dropVersion(f.versions[oldest].ID)
	delete(f.versions, oldest)
}
