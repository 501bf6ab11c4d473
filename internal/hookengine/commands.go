package hookengine

import "kitehub/internal/hooklang"

// Load compiles a text, runs the tests that it contains, and adds it as the next version of a
// script, see [Lifecycle.Load]. The source tells operators who loaded it. If the text does not
// compile the error is [hooklang.Problems].
func (e *Engine) Load(name, text, source string, shadow bool) (version uint64, warnings hooklang.Problems, err error) {
	program, err := hooklang.Compile(name+".hook", text)
	if err != nil {
		return 0, nil, err
	}
	if err := program.FirstFailure(); err != nil { // one of the script's own tests fails
		return 0, program.Warnings, err
	}
	err = e.command(func() (err error) {
		version, err = e.lifecycle.Load(name, text, source, shadow)
		return err
	})
	return version, program.Warnings, err
}

// Promote makes the shadow version of a script live, see [Lifecycle.Promote].
func (e *Engine) Promote(name string, force bool) error {
	return e.command(func() error { return e.lifecycle.Promote(name, force) })
}

// Rollback makes the previous version live again, see [Lifecycle.Rollback].
func (e *Engine) Rollback(name string) error {
	return e.command(func() error { return e.lifecycle.Rollback(name) })
}

// Release ends the quarantine of a script, see [Lifecycle.Release].
func (e *Engine) Release(name string) error {
	return e.command(func() error { return e.lifecycle.Release(name) })
}

// Remove deletes a script with its versions and state, see [Lifecycle.Remove].
func (e *Engine) Remove(name string) error {
	return e.command(func() error { return e.lifecycle.Remove(name) })
}

// command runs a change of the lifecycle on the engine's goroutine and applies its effects at once.
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
