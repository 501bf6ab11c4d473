package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"kitehub/internal/registry"
)

// A record is one entry of the log: a command, of which exactly one is set, with the time at which it was applied.
// Its JSON is the format of the log.
type record struct {
	At             time.Duration            `json:"at"`
	Key            string                   `json:"key,omitempty"` // idempotency key
	Sum            string                   `json:"sum,omitempty"` // of the command's text, with a key
	Push           *registry.Push           `json:"push,omitempty"`
	Promote        *registry.Promote        `json:"promote,omitempty"`
	Rollback       *registry.Rollback       `json:"rollback,omitempty"`
	Condemn        *registry.Condemn        `json:"condemn,omitempty"`
	Policy         *registry.Policy         `json:"policy,omitempty"`
	Collect        *registry.Collect        `json:"collect,omitempty"`
	CopiesReady    *registry.CopiesReady    `json:"stands,omitempty"`
	CallsEnded     *registry.CallsEnded     `json:"ended,omitempty"`
	EpochConfirmed *registry.EpochConfirmed `json:"reached,omitempty"`
	Tick           *registry.Tick           `json:"tick,omitempty"`
}

// command returns the one command of a record, or an error where none or several are set.
func (r *record) command() (registry.Command, error) {
	var commands []registry.Command
	commands = appendIfSet(commands, r.Push)
	commands = appendIfSet(commands, r.Promote)
	commands = appendIfSet(commands, r.Rollback)
	commands = appendIfSet(commands, r.Condemn)
	commands = appendIfSet(commands, r.Policy)
	commands = appendIfSet(commands, r.Collect)
	commands = appendIfSet(commands, r.CopiesReady)
	commands = appendIfSet(commands, r.CallsEnded)
	commands = appendIfSet(commands, r.EpochConfirmed)
	commands = appendIfSet(commands, r.Tick)
	if len(commands) != 1 {
		return nil, fmt.Errorf("command: %d are set, want one of push, promote, rollback, condemn, policy, collect",
			len(commands))
	}
	command := commands[0]
	if r.Key != "" {
		command = registry.IdempotentCommand{Key: r.Key, Checksum: r.Sum, Command: command}
	}
	return command, nil
}

// appendIfSet appends the command that a field holds, if it holds one.
func appendIfSet[C registry.Command](commands []registry.Command, field *C) []registry.Command {
	if field == nil {
		return commands
	}
	return append(commands, *field)
}

// set makes c the command of the record.
func (r *record) set(c registry.Command) {
	switch c := c.(type) {
	case registry.IdempotentCommand:
		r.Key = c.Key
		r.Sum = c.Checksum
		r.set(c.Command)
	case registry.Push:
		r.Push = &c
	case registry.Promote:
		r.Promote = &c
	case registry.Rollback:
		r.Rollback = &c
	case registry.Condemn:
		r.Condemn = &c
	case registry.Policy:
		r.Policy = &c
	case registry.Collect:
		r.Collect = &c
	case registry.CopiesReady:
		r.CopiesReady = &c
	case registry.CallsEnded:
		r.CallsEnded = &c
	case registry.EpochConfirmed:
		r.EpochConfirmed = &c
	case registry.Tick:
		r.Tick = &c
	}
}

// unmarshalStrict decodes one JSON value and nothing else. An unknown field is an error: a misspelt condition would
// otherwise be no condition.
func unmarshalStrict(text []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("more behind the value, at byte %d", decoder.InputOffset())
	}
	return nil
}
