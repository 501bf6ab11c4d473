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
	// Name is a configured name, a name that matches a pattern, or "model@version".
	Name string
	// Digest identifies the bytes of the function, if the registry names them. Only answers that
	// come from these bytes are delivered.
	Digest string
	// IsModel is set for a model. Calls run its versions, never the model itself.
	IsModel bool
	// ID is the hash of the name; 0 for a model.
	ID scheduler.FunctionID
	// Class is an index into Settings.Classes.
	Class int
	// MemoryMB is the memory that one copy uses.
	MemoryMB float64
	// Lanes is how many requests one copy runs at a time.
	Lanes float64
	// LoadTime is how long a load takes.
	LoadTime time.Duration
}

// A FunctionSpec is the configuration of a function, or of all functions whose names have a prefix.
// The fields that Function has as well mean the same.
type FunctionSpec struct {
	Name     string // a name, or a prefix followed by a star
	Class    int
	MemoryMB float64
	Lanes    float64
	LoadTime time.Duration
	MaxNames int // bound on the names that match a star
	IsModel  bool
}

const (
	// maxVersions is how many versions of models are cached.
	maxVersions = 1000
	// maxPatternName is the length in bytes of the longest name that a pattern matches.
	maxPatternName = 128
)

// Functions finds functions by name. A name that matches a star becomes known at its first call, up
// to a bound: without the bound a client could fill the dispatcher's memory with new names.
// Functions is safe for concurrent use.
type Functions struct {
	gateway *Gateway

	mu       sync.RWMutex // guards the fields below
	known    map[string]*Function
	patterns []namePattern
	// versions holds the versions in use. Beyond maxVersions the least recently used one is
	// evicted.
	versions    map[versionKey]*version
	maxVersions int

	useCount atomic.Int64 // logical clock for the uses of versions
}

type namePattern struct {
	FunctionSpec     // Name is the prefix
	matched      int // names that have become known
}

type versionKey struct{ model, version string }

type version struct {
	Function
	lastUse atomic.Int64 // on the clock Functions.useCount
}

// NewFunctions makes the functions that the specs name known to the gateway. Two names with the
// same hash are an error.
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

// add makes a function known. The caller holds f.mu, or has the only reference to f.
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

// Find returns the function with the given name. It returns nil if there is none or if the pattern
// that matches the name has reached its bound.
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
		if strings.HasPrefix(name, p.Name) && p.matched < p.MaxNames {
			fn, err := f.add(name, p.FunctionSpec)
			if err != nil {
				f.gateway.cfg.Log.Error().Err(err).Msg("function rejected")
				return nil
			}
			p.matched++
			return fn
		}
	}
	return nil
}

// Spec returns the configuration that applies to a name. Unlike Find it does not make the name
// known, as advice must not use up the bound of a pattern.
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

// Version returns a version of a model as a function of its own, named "model@version". All
// controllers use this name, so the version has the same home on all of them. Two names with the
// same hash are an error.
func (f *Functions) Version(model *Function, name, digest string) (*Function, error) {
	key := versionKey{model.Name, name}
	f.mu.RLock()
	v := f.versions[key]
	f.mu.RUnlock()
	if v != nil && v.Digest == digest {
		f.markUsed(v)
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
	f.markUsed(v)
	f.versions[key] = v
	return &v.Function, nil
}

// markUsed marks a version as the most recently used one.
func (f *Functions) markUsed(v *version) { v.lastUse.Store(f.useCount.Add(1)) }

// evictVersion removes the least recently used version. The caller holds f.mu.
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
