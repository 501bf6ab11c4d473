package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kitehub/scheduler"
)

const secret = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"

// completeConfig is a valid configuration, with a line of its own for each field that the tests
// change.
const completeConfig = `# A comment.
name: "c1"
controllers: 1
tick_ms: 2
state_dir: "state"
webhook {
  listen: "127.0.0.1:0"
  prefix: "/call/"
  past_ms: 300000
  future_ms: 5000
  ahead_ms: 2000
  remembered: 1000
  kept_bytes: 1000000
  max_connections: 100
  max_body: 65536
  first_byte_ms: 5000
  head_ms: 3000
  body_ms: 3000
  idle_ms: 30000
}
classes { name: "quote" effect: SAFE aim_ms: 500 deadline_ms: 2000 worth: 1 }
classes {
  name: "grant"
  effect: KEYED
  scope: SAME_GROUP
  window_ms: 4000
  aim_ms: 500
  deadline_ms: 2000
}
functions { name: "quote-*" class: "quote" memory_mb: 100 lanes: 2 }
functions { name: "grant" class: "grant" lanes: 1 }
tenants { name: "north" share: 1 }
clients {
  name: "shop"
  tenant: "north"
  keys: "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"
}
discovery { file: "list.json" cluster: "workers" poll_ms: 100 }
limits { attempts: 3 open: 1000 cancel: true dial_ms: 250 keep_alive_ms: 20000 }
loading { orders: true on_miss: LOAD idle_life_ms: 8000 answer_ms: 5000 }
guarantees { drain_grace_ms: 500 cold_share: 0.2 cold_ms: 16000 fall_factor: 2 fall_within_ms: 2000 }
`

func load(t *testing.T, text string) (*ControllerConfig, error) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "c.textproto")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(name)
}

// A complete configuration is mapped to the types that the parts of a controller take.
func TestCompleteConfigurationIsBuilt(t *testing.T) {
	b, err := load(t, completeConfig)
	if err != nil {
		t.Fatal(err)
	}
	s := b.Settings
	if c := s.Classes[1]; c.Idempotency != scheduler.IdempotentWithKey || c.DedupScope != scheduler.SameGroup {
		t.Errorf("class %+v", c)
	}
	if s.Limits.MaxOpenRequests != 1000 || !s.Loading.LoadsOnMiss {
		t.Errorf("limits %+v, loading %+v", s.Limits, s.Loading)
	}
	if len(b.Functions) != 2 || b.Functions[1].Class != 1 {
		t.Errorf("functions %+v", b.Functions)
	}
	if b.Clients[0].Tenant != 0 || len(b.Clients[0].Keys) != 1 {
		t.Errorf("client %+v", b.Clients[0])
	}
}

// Every error names the file, the line and the field, and the remedy where there is one.
func TestProblemsNameFileLineAndField(t *testing.T) {
	lineOf := func(part string) int {
		i := strings.Index(completeConfig, part)
		if i < 0 {
			t.Fatalf("%q is not in the configuration", part)
		}
		return 1 + strings.Count(completeConfig[:i], "\n")
	}
	tests := []struct{ old, new, field, message string }{
		{`tick_ms: 2`, `tick_ms: 0`, "tick_ms", "greater than 0"},
		{`tick_ms: 2`, `tick: 2`, "", "unknown field"},
		{`tick_ms: 2`, `tick_ms: "x"`, "", "invalid value"},
		{`name: "c1"`, `name: "C 1"`, "name", "pattern"},
		{`controllers: 1`, `controllers: 1 me: 1`, "me", "1 is out of range for 1 controllers; number the controllers from 0"},
		{`prefix: "/call/"`, `prefix: "call"`, "webhook.prefix", "prefix"},
		{`head_ms: 3000`, `head_ms: -1`, "webhook.head_ms", "greater than 0"},
		{`scope: SAME_GROUP`, ``, "classes[1].scope", "needs a scope"},
		{`  deadline_ms: 2000`, `  deadline_ms: 200`, "classes[1].aim_ms", "over deadline_ms"},
		{`effect: KEYED`, `effect: EFFECT_UNSPECIFIED`, "classes[1].effect", "not be in list"},
		{`functions { name: "grant" class: "grant"`, `functions { name: "grant" class: "grand"`, "functions[1].class", `"grand" is not among classes`},
		{`functions { name: "grant" class`, `functions { name: "quote-*" class`, "functions[1].name", "already used by functions[0]"},
		{`tenant: "north"`, `tenant: "south"`, "clients[0].tenant", "not among tenants"},
		{`keys: "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"`, `keys: "whsec_MfKQ"`, "clients[0].keys[0]", "3 bytes, want 24"},
		{`keys: "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"`, `keys: ["` + secret + `", "` + secret + `"]`, "clients[0].keys[1]", "the same key as clients[0].keys[0]"},
		{`keys: "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"`, ``, "clients[0].keys", "no key is given"},
		{`discovery { file: "list.json"`, `discovery {`, "discovery", "exactly one of file and server must be set"},
		{`poll_ms: 100`, ``, "discovery.poll_ms", "watched"},
		{`attempts: 3`, `attempts: 0`, "limits.attempts", "greater than or equal to 1"},
		{`past_ms: 300000`, `past_ms: 1000`, "classes[0].deadline_ms", "over webhook.past_ms"},
	}
	for _, tt := range tests {
		t.Run(tt.field+" "+tt.new, func(t *testing.T) {
			line := lineOf(tt.old)
			if tt.field == "classes[0].deadline_ms" {
				line = lineOf("classes {")
			}
			if tt.field == "classes[1].aim_ms" {
				line = lineOf("  aim_ms: 500\n")
			}
			if tt.field == "classes[1].scope" {
				line = lineOf("classes {\n")
			}
			if tt.field == "clients[0].keys" {
				line = lineOf("clients {")
			}
			_, err := load(t, strings.Replace(completeConfig, tt.old, tt.new, 1))
			var p Problems
			if !errors.As(err, &p) {
				t.Fatalf("err %v", err)
			}
			for _, x := range p {
				if x.Field == tt.field && strings.Contains(x.Error(), tt.message) {
					if x.Line != line || !strings.HasPrefix(x.Error(), x.File+fmt.Sprintf(":%d: ", line)) {
						t.Errorf("line %d, want %d: %s", x.Line, line, x.Error())
					}
					return
				}
			}
			t.Errorf("no problem of field %q that contains %q in:\n%v", tt.field, tt.message, p)
		})
	}
}

// Errors never contain a secret.
func TestErrorsContainNoSecrets(t *testing.T) {
	_, err := load(t, strings.Replace(completeConfig, secret, "whsec_c2VjcmV0dGhhdG11c3Rub3RiZXNlZW4", 1))
	if err == nil || strings.Contains(err.Error(), "c2VjcmV0") {
		t.Error(err)
	}
}

// Keys, numbers, names and the count of controllers are checked across several files.
func TestConsistencyOfSeveralFiles(t *testing.T) {
	build := func(change ...string) *ControllerConfig {
		b, err := load(t, strings.NewReplacer(append(change, "controllers: 1", "controllers: 2")...).Replace(completeConfig))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	common := `common_keys: "` + secret + `"`
	own := `keys: "` + secret + `"`
	two := `name: "c2" me: 1`
	if err := CheckConsistency([]string{"a", "b"}, []*ControllerConfig{build(own, common), build(own, common, `name: "c1"`, two)}); err != nil {
		t.Error(err)
	}
	for want, pair := range map[string][]*ControllerConfig{
		"a message to one controller could be replayed": {build(), build(`name: "c1"`, two)},
		"number the controllers from 0":                 {build(own, common), build(own, common, `name: "c1"`, `name: "c2"`)},
		"names must be unique":                          {build(own, common), build(own, common, `name: "c1"`, `name: "c1" me: 1`)},
		"but 1 files":                                   {build(own, common)},
	} {
		if err := CheckConsistency([]string{"a", "b"}, pair); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
