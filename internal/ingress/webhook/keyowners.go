package webhook

import (
	"fmt"
	"maps"
)

// KeyOwners has the name of the client of each key that may have verified a message, by the key's
// fingerprint.
//
// The replay guard knows messages by the names of their clients. If a key moved to another name, a
// replay of a message that it verified would be taken for a new message of that other client.
type KeyOwners map[string]string

// with returns the owners together with those of the clients' keys. It returns an error if a key has
// moved from one client to another.
func (o KeyOwners) with(clients []Client) (KeyOwners, error) {
	owners := KeyOwners{}
	maps.Copy(owners, o)
	for _, client := range clients {
		for _, key := range client.Keys {
			owner, known := o[key.Fingerprint()]
			if known && owner != client.Name {
				return nil, fmt.Errorf("clients: a key of the active client %q now belongs to %q, which would accept replays of its messages: "+
					"give %q another key, or stop this controller and start it anew", owner, client.Name, client.Name)
			}
			owners[key.Fingerprint()] = client.Name
		}
	}
	return owners, nil
}
