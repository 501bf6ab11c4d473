package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"kitehub/internal/registry"
)

// A record is one line of the log: a command with the time at which it was applied. One command is set.
type record struct {
	At             time.Duration            `json:"at"`
	Key            string                   `json:"key,omitempty"`
	Sum            string                   `json:"sum,omitempty"`
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

// command returns the one command of a record.
func (r *record) command() (registry.Command, error) {
	var l []registry.Command
	l = appendIfSet(appendIfSet(appendIfSet(appendIfSet(l, r.Push), r.Promote), r.Rollback), r.Condemn)
	l = appendIfSet(appendIfSet(appendIfSet(appendIfSet(l, r.Policy), r.Collect), r.CopiesReady), r.CallsEnded)
	l = appendIfSet(appendIfSet(l, r.EpochConfirmed), r.Tick)
	if len(l) != 1 {
		return nil, fmt.Errorf("command: %d are set, want one of push, promote, rollback, condemn, policy, collect", len(l))
	}
	c := l[0]
	if r.Key != "" {
		c = registry.IdempotentCommand{Key: r.Key, Sum: r.Sum, Command: c}
	}
	return c, nil
}

// appendIfSet appends a command that is set.
func appendIfSet[C registry.Command](l []registry.Command, c *C) []registry.Command {
	if c != nil {
		l = append(l, *c)
	}
	return l
}

func (r *record) set(c registry.Command) {
	switch c := c.(type) {
	case registry.IdempotentCommand:
		r.Key, r.Sum = c.Key, c.Sum
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

// unmarshalStrict reads one JSON value and nothing else; a field that is not known is an error, as a misspelt condition would
// otherwise be no condition.
func unmarshalStrict(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("more behind the value, at byte %d", d.InputOffset())
	}
	return nil
}
