package ingress

import (
	"strings"

	"kitehub/internal/gateway"
)

// DefaultAlias is the alias that a call of a model uses if it names none.
const DefaultAlias = "current"

// Resolve finds the function that a call names, either by the function's name or as model@alias. It
// returns nil if there is none. alias is set only if the function is a model, which requires models
// not to be nil.
func Resolve(functions func(name string) *gateway.Function, models Models, name string) (
	function *gateway.Function, alias string,
) {
	if function = functions(name); function != nil && !function.IsModel {
		return function, ""
	}
	model, alias, ok := strings.Cut(name, "@")
	if !ok {
		alias = DefaultAlias
	}
	function = functions(model)
	if function == nil || !function.IsModel || alias == "" || models == nil {
		return nil, ""
	}
	return function, alias
}
