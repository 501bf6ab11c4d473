package agent

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// codeInvalidArgument is the code of google.rpc.Status for a response that was rejected.
const codeInvalidArgument = 3

// parseResponse checks a response and returns the update that it holds. On an error all of it is to be rejected: the
// error is one of the response's content, not of a lost response, and the registry is to be told.
func parseResponse(resp *wire.DiscoveryResponse) (registry.ViewUpdate, error) {
	epoch, err := strconv.ParseUint(resp.VersionInfo, 10, 64)
	if err != nil {
		return registry.ViewUpdate{}, fmt.Errorf("version_info: %q is no epoch", resp.VersionInfo)
	}
	update := registry.ViewUpdate{
		Epoch:         epoch,
		Since:         resp.Since,
		Targets:       map[registry.AliasName]registry.Target{},
		Condemned:     resp.Condemned,
		LeaseDuration: fromMilliseconds(resp.LeaseMS),
		SettleTimeout: fromMilliseconds(resp.SettleMS),
	}
	if resp.TypeURL != wire.TypeAlias || update.LeaseDuration <= 0 {
		return update, errors.New("not a response about aliases with a lease")
	}
	for i, x := range resp.Resources {
		name := registry.AliasName{Model: x.Model, Alias: x.Alias}
		_, twice := update.Targets[name]
		if twice || x.Type != wire.TypeAlias || x.Model == "" || x.Alias == "" || x.Revision == 0 {
			return update, fmt.Errorf("resources[%d]: %s of %s: twice, or not an alias", i, x.Alias, x.Model)
		}
		update.Targets[name] = registry.Target{Version: x.Version, Digest: x.Digest, Revision: x.Revision}
	}
	for _, model := range resp.AllowStale {
		if update.AllowStale == nil {
			update.AllowStale = map[string]bool{}
		}
		update.AllowStale[model] = true
	}
	return update, nil
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
