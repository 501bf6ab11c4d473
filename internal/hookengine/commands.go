package hookengine

import "kitehub/internal/hooklang"

// Load compiles a text, runs the tests in it, and takes it as a script's next version, as [Lifecycle.Load] does.
// from says who loads it, for operators. A text that does not compile is rejected with [hooklang.Problems].
func (e *Engine) Load(name, text, from string, shadow bool) (version uint64, warnings hooklang.Problems, err error) {
	program, err := hooklang.Compile(name+".hook", text)
	if err != nil {
		return 0, nil, err
	}
	if err := program.FirstFailure(); err != nil { // a script whose own tests fail is not what its author means
		return 0, program.Warnings, err
	}
	err = e.command(func() (err error) {
		version, err = e.lifecycle.Load(name, text, from, shadow)
		return err
	})
	return version, program.Warnings, err
}

// Promote makes the shadow version of a script live, as [Lifecycle.Promote] does.
func (e *Engine) Promote(name string, force bool) error {
	return e.command(func() error { return e.lifecycle.Promote(name, force) })
}

// Rollback makes the previous version live again, as [Lifecycle.Rollback] does.
func (e *Engine) Rollback(name string) error {
	return e.command(func() error { return e.lifecycle.Rollback(name) })
}

// Release ends the quarantine of a script, as [Lifecycle.Release] does.
func (e *Engine) Release(name string) error {
	return e.command(func() error { return e.lifecycle.Release(name) })
}

// Remove deletes a script with its versions and state, as [Lifecycle.Remove] does.
func (e *Engine) Remove(name string) error {
	return e.command(func() error { return e.lifecycle.Remove(name) })
}

// command has the lifecycle changed by the engine's goroutine, which carries the change out at once.
func (e *Engine) command(change func() error) (err error) {
	stopped := e.runOnEngine(func() {
		err = change()
		e.applyChanges()
	})
	if stopped != nil {
		return stopped
	}
	return err
}
