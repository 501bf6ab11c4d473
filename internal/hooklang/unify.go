package hooklang

// unify matches a parameter type p with an argument type a, and binds the type variables of p in
// vars. It reports whether the types match.
func unify(p, a *Type, vars map[*Type]*Type) bool {
	switch p {
	case varT, varK, varV:
		if old := vars[p]; old != nil {
			return sameType(old, a)
		}
		vars[p] = a
		return a != typeVoid
	}
	if a == typeInvalid {
		return true
	}
	if p.name != a.name || p.record != a.record {
		return false
	}
	return (p.elem == nil || unify(p.elem, a.elem, vars)) && (p.key == nil || unify(p.key, a.key, vars))
}

// substitute replaces the type variables in t by the types that they are bound to.
func substitute(t *Type, vars map[*Type]*Type) *Type {
	switch {
	case vars[t] != nil:
		return vars[t]
	case t == varT || t == varK || t == varV:
		return typeInvalid
	case t.name == "list":
		return listOf(substitute(t.elem, vars))
	case t.name == "map":
		return mapOf(substitute(t.key, vars), substitute(t.elem, vars))
	}
	return t
}
