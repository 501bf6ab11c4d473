package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"kitehub/internal/ingress/jsonrpc"
)

const (
	// maxSocketPath is the maximum length of the path of a Unix socket in bytes. Every operating
	// system allows paths of this length.
	maxSocketPath = 100
	// defaultSocketMode allows only the user of the process to connect.
	defaultSocketMode = 0o600
)

// rpc maps the settings of the ingress for operators and clients on the same machine.
func (b *builder) rpc() {
	r := b.cfg.Rpc
	if r == nil {
		return
	}
	out := b.result
	out.RPCSocket = r.Socket
	out.RPCSocketMode = os.FileMode(r.Mode)
	out.MaxExplanations = int(r.Explain)
	if out.RPCSocketMode == 0 {
		out.RPCSocketMode = defaultSocketMode
	}
	if len(r.Socket) > maxSocketPath {
		b.file.AddProblem("rpc.socket", fmt.Sprintf("a path of %d bytes is too long", len(r.Socket)),
			"the path of a Unix socket has at most about 100 bytes")
	}
	out.RPC = &jsonrpc.Config{
		MaxConns:   int(r.MaxConnections),
		MaxMessage: int(r.MaxMessage),
		MaxCalls:   int(r.MaxCalls),
		KeyWindow:  b.dedupWindow(),
	}
	b.rpcUsers(r.Users)
	if path, ok := strings.CutPrefix(b.cfg.Webhook.Listen, unixPrefix); ok && path == r.Socket {
		b.file.AddProblem("rpc.socket", "is also the socket of webhook.listen", "give each ingress its own socket")
	}
}

// dedupWindow returns a function that tells for how long an idempotency key of a class is valid.
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
				b.file.AddProblem(field+".uid", "is set together with self", "set only one of them")
			}
			out.UID = uint32(os.Getuid())
		}
		if uids[out.UID] {
			b.file.AddProblem(field+".uid", fmt.Sprintf("duplicate uid %d", out.UID), "a user has one entry")
		}
		uids[out.UID] = true
		b.checkUserName(field+".name", u.Name, names)
		if !u.Call && !u.Operate {
			b.file.AddProblem(field, "neither call nor operate is set", "set call, operate or both")
		}
		out.Tenant = b.tenantIndex(field+".tenant", u.Tenant)
		b.result.RPC.Users = append(b.result.RPC.Users, out)
	}
}

// checkUserName checks that a user's name differs from that of every other user and client, since
// idempotency keys begin with it.
func (b *builder) checkUserName(field, name string, users map[string]bool) {
	if users[name] {
		b.file.AddProblem(field, fmt.Sprintf("duplicate name %q", name), "names must be unique")
	}
	users[name] = true
	for _, client := range b.cfg.Clients {
		if client.Name == name {
			b.file.AddProblem(field, fmt.Sprintf("%q is also the name of a client", name),
				"idempotency keys begin with the name: use another one")
		}
	}
}
