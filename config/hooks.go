package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hookengine"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/signing"
)

func (b *Built) hooks(f *File, c *Config) {
	b.Daemon = c.Daemon
	if d := c.Daemon; d != nil && (d.Starts > 0) != (d.WithinMs > 0) {
		f.Problem("daemon.starts", "only one of starts and within_ms", "give both or neither")
	}
	h := c.Hooks
	if h == nil {
		return
	}
	b.Hooks = &hookengine.Config{Seed: b.Seed, Queue: int(h.Queue), Advice: hookadvice.Settings{Functions: int(h.Functions), Copies: int(h.Copies),
		MemoryShare: h.MemoryShare, MaxDuration: ms(h.LongestMs), Workers: h.Workers, Weight: h.Weight, MaxRejectedFraction: h.Refuse, Cap: int(c.Limits.Open)}}
	if h.Weight != 0 && h.Weight < 1 {
		f.Problem("hooks.weight", fmt.Sprintf("%v is under 1", h.Weight), "a factor: weights lie between it and its inverse")
	}
	seen := map[string]bool{}
	for i, s := range h.Scripts {
		if seen[s.Name] {
			f.Problem(fmt.Sprintf("hooks.scripts[%d].name", i), fmt.Sprintf("%q twice", s.Name), "names must differ")
		}
		seen[s.Name] = true
	}
	b.Scripts = h.Scripts
	named := map[string]bool{}
	for i, t := range h.Targets {
		at := fmt.Sprintf("hooks.targets[%d]", i)
		if named[t.Name] {
			f.Problem(at+".name", fmt.Sprintf("%q twice", t.Name), "names must differ")
		}
		named[t.Name] = true
		k, err := signing.ParseKey(t.Key)
		if err == nil && !k.CanSign() {
			err = errors.New("a public key does not sign")
		}
		if err != nil {
			f.Problem(at+".key", err.Error(), "make a secret with: kitehub key new")
		}
		b.Secrets = append(b.Secrets, t.Key)
		b.Targets = append(b.Targets, hookengine.Target{Name: t.Name, Address: t.Address, Path: t.Path, Key: k})
	}
}

func (b *Built) rpc(f *File, c *Config, tenants map[string]int) {
	r := c.Rpc
	if r == nil {
		return
	}
	b.Socket, b.Mode, b.Explain = r.Socket, os.FileMode(r.Mode), int(r.Explain)
	if b.Mode == 0 {
		b.Mode = 0o600
	}
	if len(r.Socket) > 100 {
		f.Problem("rpc.socket", fmt.Sprintf("%d bytes", len(r.Socket)), "the name of a Unix socket has at most some hundred")
	}
	b.RPC = &jsonrpc.Config{MaxOpen: int(r.MaxConnections), MaxLine: int(r.MaxMessage), MaxCalls: int(r.MaxCalls)}
	uids, names := map[uint32]bool{}, map[string]bool{}
	for i, u := range r.Users {
		at := fmt.Sprintf("rpc.users[%d]", i)
		out := jsonrpc.User{UID: u.Uid, Name: u.Name, Tenant: -1, Call: u.Call, Operate: u.Operate}
		if u.Self {
			if u.Uid != 0 {
				f.Problem(at+".uid", "beside self", "give one")
			}
			out.UID = uint32(os.Getuid())
		}
		if uids[out.UID] {
			f.Problem(at+".uid", fmt.Sprintf("%d twice", out.UID), "a user has one entry")
		}
		if names[u.Name] {
			f.Problem(at+".name", fmt.Sprintf("%q twice", u.Name), "names must differ")
		}
		for _, cl := range c.Clients {
			if cl.Name == u.Name {
				f.Problem(at+".name", fmt.Sprintf("%q is a client", u.Name), "keys of keyed calls begin with the name: it must differ")
			}
		}
		if !u.Call && !u.Operate {
			f.Problem(at, "may do nothing", "set call, operate or both")
		}
		uids[out.UID], names[u.Name] = true, true
		if u.Tenant != "" {
			t, ok := tenants[u.Tenant]
			if !ok {
				f.Problem(at+".tenant", fmt.Sprintf("%q is not among tenants", u.Tenant), "add it there or name another")
			}
			out.Tenant = t
		}
		b.RPC.Users = append(b.RPC.Users, out)
	}
	windows := make([]time.Duration, len(c.Classes))
	for i, cl := range c.Classes {
		windows[i] = ms(cl.WindowMs)
	}
	b.RPC.Window = func(class int) time.Duration { return windows[class] }
	if strings.HasPrefix(c.Webhook.Listen, "unix:") && strings.TrimPrefix(c.Webhook.Listen, "unix:") == r.Socket {
		f.Problem("rpc.socket", "that of webhook.listen", "each front has its own")
	}
}
