package ingress

import (
	"strings"

	"kitehub/internal/gateway"
)

// DefaultAlias is the alias of a model's versions for calls that name none.
const DefaultAlias = "current"

// Resolve finds the function that a call names, as a function's name or as model@alias; nil if there is none. The
// alias is set if the function has versions, which takes models: nil stands for none.
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
