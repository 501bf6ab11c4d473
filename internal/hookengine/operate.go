package hookengine

import "kitehub/internal/hooklang"

// Load compiles a text, runs its own tests and loads it as the next version of a script: see Lifecycle.Load. Warnings
// are returned also with an error.
func (e *Engine) Load(name, text, from string, shadow bool) (version uint64, warnings hooklang.Problems, err error) {
	program, err := hooklang.Compile(name+".hook", text)
	if err != nil {
		return 0, nil, err
	}
	if err := program.FirstFailure(); err != nil { // a script whose own tests fail is not what its author means
		return 0, program.Warnings, err
	}
	err = e.change(func() (err error) {
		version, err = e.lifecycle.Load(name, text, from, shadow)
		return err
	})
	return version, program.Warnings, err
}

// Promote makes the shadow live: see Lifecycle.Promote.
func (e *Engine) Promote(name string, force bool) error {
	return e.change(func() error { return e.lifecycle.Promote(name, force) })
}

// Rollback makes the version before live again: see Lifecycle.Rollback.
func (e *Engine) Rollback(name string) error {
	return e.change(func() error { return e.lifecycle.Rollback(name) })
}

// Release lets a quarantined version run again: see Lifecycle.Release.
func (e *Engine) Release(name string) error {
	return e.change(func() error { return e.lifecycle.Release(name) })
}

// Remove removes a script: see Lifecycle.Remove.
func (e *Engine) Remove(name string) error {
	return e.change(func() error { return e.lifecycle.Remove(name) })
}

// change has the loop change the lifecycle and carry that out.
func (e *Engine) change(f func() error) (err error) {
	stopped := e.onLoop(func() {
		err = f()
		e.applyChanges()
	})
	if stopped != nil {
		return stopped
	}
	return err
}
