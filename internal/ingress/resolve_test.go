package ingress

import (
	"testing"

	"kitehub/internal/gateway"
)

func TestResolve(t *testing.T) {
	plain := &gateway.Function{Name: "plain"}
	model := &gateway.Function{Name: "model", IsModel: true}
	withAt := &gateway.Function{Name: "odd@name"}
	functions := func(name string) *gateway.Function {
		return map[string]*gateway.Function{"plain": plain, "model": model, "odd@name": withAt}[name]
	}
	var models struct{ Models }
	tests := []struct {
		name         string
		models       Models
		wantFunction *gateway.Function
		wantAlias    string
	}{
		{"plain", models, plain, ""},
		{"model", models, model, DefaultAlias},
		{"model@canary", models, model, "canary"},
		{"model@", models, nil, ""},
		{"plain@canary", models, nil, ""},
		{"odd@name", models, withAt, ""},
		{"other", models, nil, ""},
		{"plain", nil, plain, ""},
		{"model", nil, nil, ""},
	}
	for _, tt := range tests {
		function, alias := Resolve(functions, tt.models, tt.name)
		if function != tt.wantFunction || alias != tt.wantAlias {
			t.Errorf("%s: %v %q, want %v %q", tt.name, function, alias, tt.wantFunction, tt.wantAlias)
		}
	}
}
