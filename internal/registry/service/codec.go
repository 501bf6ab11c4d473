package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"kitehub/internal/registry"
)

// A record is one entry of the log: a command with the time at which it was applied. Exactly one
// command is set. The JSON of a record is the format of the log.
type record struct {
	At             time.Duration            `json:"at"`
	Key            string                   `json:"key,omitempty"` // idempotency key
	Checksum       string                   `json:"sum,omitempty"` // of the command's text, with a key
	Push           *registry.Push           `json:"push,omitempty"`
	Promote        *registry.Promote        `json:"promote,omitempty"`
	Rollback       *registry.Rollback       `json:"rollback,omitempty"`
	Condemn        *registry.Condemn        `json:"condemn,omitempty"`
	Policy         *registry.Policy         `json:"policy,omitempty"`
	Collect        *registry.Collect        `json:"collect,omitempty"`
	CopiesReady    *registry.CopiesReady    `json:"stands,omitempty"`
	CallsEnded     *registry.CallsEnded     `json:"ended,omitempty"`
	EpochConfirmed *registry.EpochConfirmed `json:"reached,omitempty"`
	StaleEnded     *registry.StaleEnded     `json:"stale_ended,omitempty"`
	Tick           *registry.Tick           `json:"tick,omitempty"`
	ChangeSettings *registry.ChangeSettings `json:"settings,omitempty"`
}

// command returns the command of a record, or an error unless exactly one is set.
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
	commands = appendIfSet(commands, r.StaleEnded)
	commands = appendIfSet(commands, r.Tick)
	commands = appendIfSet(commands, r.ChangeSettings)
	if len(commands) != 1 {
		return nil, fmt.Errorf("command: %d are set, want one of push, promote, rollback, condemn, policy, collect",
			len(commands))
	}
	command := commands[0]
	if r.Key != "" {
		command = registry.IdempotentCommand{Key: r.Key, Checksum: r.Checksum, Command: command}
	}
	return command, nil
}

// appendIfSet appends the command in a field if the field is set.
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
		r.Checksum = c.Checksum
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
	case registry.StaleEnded:
		r.StaleEnded = &c
	case registry.Tick:
		r.Tick = &c
	case registry.ChangeSettings:
		r.ChangeSettings = &c
	}
}

// unmarshalStrict decodes exactly one JSON value. An unknown field is an error, as a misspelt
// condition would otherwise be ignored.
func unmarshalStrict(text []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("unexpected data after the JSON value, at byte %d", decoder.InputOffset())
	}
	return nil
}
