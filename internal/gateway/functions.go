package gateway

import (
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A Spec is what the configuration says of a function, or of all whose names begin alike.
type Spec struct {
	Name     string // or a beginning and a star
	Class    int
	MemoryMB float64
	Lanes    float64
	LoadTime time.Duration
	Most     int // names taken under a star
	Versions bool
}

// Functions finds functions by name. Names under a star become known when they are first called, up to a bound:
// an unbounded set of names would let a client fill the module's memory. It is safe for concurrent use.
type Functions struct {
	gateway  *Gateway
	mu       sync.RWMutex
	known    map[string]*Function
	patterns []namePattern
	// Versions of models in use, and how many are kept: beyond it the one used longest ago is forgotten.
	versions    map[versionKey]*version
	maxVersions int
	useCount    int64
}

type versionKey struct{ model, version string }

type version struct {
	Function
	lastUse atomic.Int64
}

const maxVersions = 1000

type namePattern struct {
	Spec
	taken int
}

// NewFunctions makes the functions named by the specs known to the gateway.
func NewFunctions(g *Gateway, specs []Spec) (*Functions, error) {
	f := &Functions{gateway: g, known: map[string]*Function{}, versions: map[versionKey]*version{}, maxVersions: maxVersions}
	for _, s := range specs {
		if begin, ok := strings.CutSuffix(s.Name, "*"); ok {
			s.Name = begin
			f.patterns = append(f.patterns, namePattern{Spec: s})
			continue
		}
		if _, err := f.add(s.Name, s); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Functions) add(name string, s Spec) (*Function, error) {
	fn := &Function{Name: name, Class: s.Class, MemoryMB: s.MemoryMB, Lanes: s.Lanes, LoadTime: s.LoadTime, Versions: s.Versions}
	if !s.Versions {
		var err error
		if fn.ID, err = f.gateway.AddFunction(name); err != nil {
			return nil, err
		}
	}
	f.known[name] = fn
	return fn, nil
}

// Version returns a version of a model as a function of its own, named "model@version". All controllers name it alike, so
// its home is the same for all.
func (f *Functions) Version(model *Function, name, digest string) (*Function, error) {
	k := versionKey{model.Name, name}
	f.mu.RLock()
	v := f.versions[k]
	f.mu.RUnlock()
	if v != nil && v.Digest == digest {
		v.lastUse.Store(atomic.AddInt64(&f.useCount, 1))
		return &v.Function, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.versions) >= f.maxVersions {
		var oldest versionKey
		var at int64 = math.MaxInt64
		for k, v := range f.versions {
			if u := v.lastUse.Load(); u < at {
				oldest, at = k, u
			}
		}
		f.gateway.dropVersion(f.versions[oldest].ID)
		delete(f.versions, oldest)
	}
	v = &version{Function: *model}
	v.Name, v.Digest, v.Versions = model.Name+"@"+name, digest, false
	var err error
	if v.ID, err = f.gateway.addVersion(v.Name, digest); err != nil {
		return nil, err
	}
	v.lastUse.Store(atomic.AddInt64(&f.useCount, 1))
	f.versions[k] = v
	return &v.Function, nil
}

// Spec returns what is configured for a name, known or not. Unlike Find it takes no place under a star: advice must not use up
// those of calls.
func (f *Functions) Spec(name string) (Spec, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if fn := f.known[name]; fn != nil {
		return Spec{Name: name, Class: fn.Class, MemoryMB: fn.MemoryMB, Lanes: fn.Lanes, LoadTime: fn.LoadTime, Versions: fn.Versions}, true
	}
	for i := range f.patterns {
		if s := &f.patterns[i]; len(name) <= 128 && strings.HasPrefix(name, s.Name) {
			return s.Spec, true
		}
	}
	return Spec{}, false
}

// Find returns the function of a name, or nil.
func (f *Functions) Find(name string) *Function {
	f.mu.RLock()
	fn := f.known[name]
	f.mu.RUnlock()
	if fn != nil || len(f.patterns) == 0 || len(name) > 128 {
		return fn
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if fn := f.known[name]; fn != nil {
		return fn
	}
	for i := range f.patterns {
		s := &f.patterns[i]
		if strings.HasPrefix(name, s.Name) && s.taken < s.Most {
			fn, err := f.add(name, s.Spec)
			if err != nil {
				f.gateway.cfg.Log.Error().Err(err).Msg("function not taken")
				return nil
			}
			s.taken++
			return fn
		}
	}
	return nil
}
