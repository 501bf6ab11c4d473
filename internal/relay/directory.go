package relay

import (
	"fmt"
	"net"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// A directoryEvent is an event of the platform's directory.
type directoryEvent struct {
	Cursor uint32 `json:"cursor"`
	Nodes  *struct {
		All     bool     `json:"all"` // the targets are the complete list of workers
		Targets []target `json:"targets"`
	} `json:"nodes"`
}

// A target is a worker in the directory. The platform calls it an invoker.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host and port
	Zone     string  `json:"az"`
	Model    string  `json:"model"` // kind of the machine
	Group    any     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // Unix time in milliseconds; 0: unknown
}

var statesByName = map[string]scheduler.WorkerState{
	"ready":    scheduler.Ready,
	"draining": scheduler.Draining,
	"gone":     scheduler.Removed,
}

// replayEvents returns the workers that exist after the events, in the order in which they were
// first named. Any error is a *ConfigError.
func replayEvents(events []directoryEvent) ([]gateway.Worker, error) {
	workers := map[string]gateway.Worker{}
	var order []string // UIDs; one that was removed and named again is there twice
	for i, e := range events {
		if e.Nodes == nil {
			continue
		}
		if e.Nodes.All {
			clear(workers)
		}
		for j, t := range e.Nodes.Targets {
			w, err := t.worker(fmt.Sprintf("known.cmds[%d].nodes.targets[%d]", i, j))
			if err != nil {
				return nil, err
			}
			if w.State == scheduler.Removed {
				delete(workers, t.UID)
				continue
			}
			if _, ok := workers[t.UID]; !ok {
				order = append(order, t.UID)
			}
			workers[t.UID] = w
		}
	}
	var list []gateway.Worker
	for _, uid := range order {
		if w, ok := workers[uid]; ok {
			list = append(list, w)
			delete(workers, uid)
		}
	}
	return list, nil
}

// worker converts a target to a gateway.Worker. Of a removed worker only the name and the state are
// checked. field is the target's path in the configuration, for errors.
func (t target) worker(field string) (w gateway.Worker, err error) {
	state, ok := statesByName[t.State]
	switch {
	case t.UID == "":
		return w, configError(field+".uid", "missing")
	case !ok:
		return w, configError(field+".state", "%.32q is not a state", t.State)
	case state == scheduler.Removed:
		return gateway.Worker{Name: t.UID, State: state}, nil
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil {
		return w, &ConfigError{field + ".endpoint", err}
	}
	w = gateway.Worker{
		Name:    t.UID,
		Network: "tcp",
		Addr:    t.Endpoint,
		Zone:    t.Zone,
		Kind:    t.Model,
		State:   state,
		Size:    t.Size,
	}
	if t.Group != nil {
		w.Group = fmt.Sprint(t.Group)
	}
	if t.BootMS > 0 {
		w.Started = time.UnixMilli(t.BootMS)
	}
	return w, nil
}
