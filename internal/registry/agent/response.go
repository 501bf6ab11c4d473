package agent

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// codeInvalidArgument is the google.rpc.Code for a response that was rejected.
const codeInvalidArgument = 3

// parseResponse checks a response and returns the update that it contains. After an error the whole
// response must be rejected, and the registry be told the reason: the content is invalid, as
// opposed to a response that was lost.
func parseResponse(resp *wire.DiscoveryResponse) (registry.ViewUpdate, error) {
	epoch, err := strconv.ParseUint(resp.VersionInfo, 10, 64)
	if err != nil {
		return registry.ViewUpdate{}, fmt.Errorf("version_info: %q is not an epoch", resp.VersionInfo)
	}
	update := registry.ViewUpdate{
		Epoch:         epoch,
		Since:         resp.Since,
		Targets:       map[registry.AliasName]registry.Target{},
		Condemned:     resp.Condemned,
		LeaseDuration: fromMilliseconds(resp.LeaseMS),
		StaleDuration: fromMilliseconds(resp.StaleMS),
		SettleTimeout: fromMilliseconds(resp.SettleMS),
	}
	if resp.TypeURL != wire.TypeAlias || update.LeaseDuration <= 0 {
		return update, errors.New("type_url or lease_ms: not a response about aliases that grants a lease")
	}
	for i, alias := range resp.Resources {
		name := registry.AliasName{Model: alias.Model, Alias: alias.Alias}
		_, duplicate := update.Targets[name]
		if duplicate || alias.Type != wire.TypeAlias || alias.Model == "" || alias.Alias == "" || alias.Revision == 0 {
			return update, fmt.Errorf("resources[%d]: alias %s of %s is duplicated or invalid", i, alias.Alias, alias.Model)
		}
		update.Targets[name] = registry.Target{Version: alias.Version, Digest: alias.Digest, Revision: alias.Revision}
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
