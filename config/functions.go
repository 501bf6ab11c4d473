package config

import (
	"fmt"
	"strings"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// defaultMaxNames is how many names may match an entry whose name ends in a star, where the
// configuration sets no limit.
const defaultMaxNames = 1000

func (b *builder) functions() {
	classes := b.classIndexes()
	indexes := map[string]int{}
	names := map[scheduler.FunctionID]string{}
	for i, fn := range b.cfg.Functions {
		field := fmt.Sprintf("functions[%d]", i)
		if first, ok := indexes[fn.Name]; ok {
			b.file.AddProblem(field+".name", fmt.Sprintf("duplicate name %q, already used by functions[%d]", fn.Name, first),
				"names must be unique")
		}
		indexes[fn.Name] = i
		id := gateway.FunctionID(fn.Name)
		if other, ok := names[id]; ok && other != fn.Name {
			b.file.AddProblem(field+".name", fmt.Sprintf("%q has the same hash as %q", fn.Name, other), "rename one")
		}
		names[id] = fn.Name
		class, ok := classes[fn.Class]
		if !ok {
			b.file.AddProblem(field+".class", fmt.Sprintf("%q is not among classes", fn.Class),
				"add it there or name another")
		}
		b.result.Functions = append(b.result.Functions, functionSpec(fn, class))
		if fn.Versions && b.cfg.Registry == nil {
			b.file.AddProblem(field+".versions", "no registry is configured", "add a registry section")
		}
		if fn.Versions && strings.HasSuffix(fn.Name, "*") {
			b.file.AddProblem(field+".versions", "the name of a model cannot end in a star", "add an entry for each model")
		}
	}
}

// classIndexes returns the index of each class, by name.
func (b *builder) classIndexes() map[string]int {
	classes := map[string]int{}
	for i, class := range b.cfg.Classes {
		if _, ok := classes[class.Name]; ok {
			b.file.AddProblem(fmt.Sprintf("classes[%d].name", i), fmt.Sprintf("duplicate name %q", class.Name),
				"names must be unique")
		}
		classes[class.Name] = i
	}
	return classes
}

func functionSpec(fn *Function, class int) gateway.FunctionSpec {
	spec := gateway.FunctionSpec{
		Name:     fn.Name,
		Class:    class,
		MemoryMB: fn.MemoryMb,
		Lanes:    fn.Lanes,
		LoadTime: ms(fn.LoadMs),
		MaxNames: int(fn.Most),
		IsModel:  fn.Versions,
	}
	if spec.MaxNames == 0 {
		spec.MaxNames = defaultMaxNames
	}
	return spec
}
