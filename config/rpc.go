package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"kitehub/internal/ingress/jsonrpc"
)

const (
	// maxSocketPath is the length in bytes of the longest path of a Unix socket that every system admits.
	maxSocketPath = 100
	// defaultSocketMode lets only the user of the process connect.
	defaultSocketMode = 0o600
)

// rpc maps the ingress for operators and callers on the same machine.
func (b *builder) rpc() {
	r := b.cfg.Rpc
	if r == nil {
		return
	}
	out := b.built
	out.RPCSocket = r.Socket
	out.RPCSocketMode = os.FileMode(r.Mode)
	out.MaxExplanations = int(r.Explain)
	if out.RPCSocketMode == 0 {
		out.RPCSocketMode = defaultSocketMode
	}
	if len(r.Socket) > maxSocketPath {
		b.file.AddProblem("rpc.socket", fmt.Sprintf("%d bytes", len(r.Socket)),
			"the name of a Unix socket has at most some hundred")
	}
	out.RPC = &jsonrpc.Config{
		MaxConns:   int(r.MaxConnections),
		MaxMessage: int(r.MaxMessage),
		MaxCalls:   int(r.MaxCalls),
		KeyWindow:  b.dedupWindow(),
	}
	b.rpcUsers(r.Users)
	if path, ok := strings.CutPrefix(b.cfg.Webhook.Listen, unixPrefix); ok && path == r.Socket {
		b.file.AddProblem("rpc.socket", "that of webhook.listen", "each front has its own")
	}
}

// dedupWindow returns for how long an idempotency key of a class holds.
func (b *builder) dedupWindow() func(class int) time.Duration {
	windows := make([]time.Duration, len(b.cfg.Classes))
	for i, class := range b.cfg.Classes {
		windows[i] = ms(class.WindowMs)
	}
	return func(class int) time.Duration { return windows[class] }
}

func (b *builder) rpcUsers(users []*RpcUser) {
	uids := map[uint32]bool{}
	names := map[string]bool{}
	for i, u := range users {
		field := fmt.Sprintf("rpc.users[%d]", i)
		out := jsonrpc.User{UID: u.Uid, Name: u.Name, MayCall: u.Call, MayOperate: u.Operate}
		if u.Self {
			if u.Uid != 0 {
				b.file.AddProblem(field+".uid", "beside self", "give one")
			}
			out.UID = uint32(os.Getuid())
		}
		if uids[out.UID] {
			b.file.AddProblem(field+".uid", fmt.Sprintf("%d twice", out.UID), "a user has one entry")
		}
		uids[out.UID] = true
		b.checkUserName(field+".name", u.Name, names)
		if !u.Call && !u.Operate {
			b.file.AddProblem(field, "may do nothing", "set call, operate or both")
		}
		out.Tenant = b.tenant(field+".tenant", u.Tenant)
		b.built.RPC.Users = append(b.built.RPC.Users, out)
	}
}

// checkUserName checks that a user's name is unlike that of another user or client: idempotency keys begin with it.
func (b *builder) checkUserName(field, name string, users map[string]bool) {
	if users[name] {
		b.file.AddProblem(field, fmt.Sprintf("%q twice", name), "names must differ")
	}
	users[name] = true
	for _, client := range b.cfg.Clients {
		if client.Name == name {
			b.file.AddProblem(field, fmt.Sprintf("%q is a client", name),
				"keys of keyed calls begin with the name: it must differ")
		}
	}
}
