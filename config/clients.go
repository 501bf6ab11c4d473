package config

import (
	"errors"
	"fmt"
	"strings"

	"kitehub/internal/ingress/webhook"
	"kitehub/internal/signing"
)

// clients maps the clients and their keys. Problems never contain the text of a key.
func (b *builder) clients() {
	names := map[string]bool{}
	keyFields := map[string]string{} // the field that first used each key, by the key's text
	for i, client := range b.cfg.Clients {
		field := fmt.Sprintf("clients[%d]", i)
		if names[client.Name] {
			b.file.AddProblem(field+".name", fmt.Sprintf("duplicate name %q", client.Name), "names must be unique")
		}
		names[client.Name] = true
		out := webhook.Client{Name: client.Name, Tenant: b.tenantIndex(field+".tenant", client.Tenant)}
		if len(client.Keys)+len(client.CommonKeys) == 0 {
			b.file.AddProblem(field+".keys", "no key is given", "set keys or common_keys")
		}
		for j, text := range client.Keys {
			out.Keys = b.addClientKey(out.Keys, fmt.Sprintf("%s.keys[%d]", field, j), text, keyFields)
		}
		for j, common := range client.CommonKeys {
			keyField := fmt.Sprintf("%s.common_keys[%d]", field, j)
			if own, ok := b.deriveKey(keyField, common); ok {
				out.Keys = b.addClientKey(out.Keys, keyField, own, keyFields)
			}
		}
		if client.AnswerKey != "" {
			out.SigningKey = b.answerKey(field+".answer_key", client.AnswerKey)
		}
		b.result.Clients = append(b.result.Clients, out)
	}
}

// addClientKey parses a key that verifies a client's messages, and appends it if it is valid.
func (b *builder) addClientKey(keys []*signing.Key, field, text string, keyFields map[string]string) []*signing.Key {
	if first, ok := keyFields[text]; ok {
		b.file.AddProblem(field, "the same key as "+first, "a key identifies its client: give each client its own")
	}
	keyFields[text] = field
	key, err := signing.ParseKey(text)
	if err != nil {
		b.file.AddProblem(field, err.Error(), "create a secret with: kitehub key new")
		return keys
	}
	if strings.HasPrefix(text, "whsk_") {
		b.file.AddProblem(field, "is a private key", "only the client has its private key: use its whpk_ key")
		return keys
	}
	b.result.Secrets = append(b.result.Secrets, text)
	return append(keys, key)
}

// deriveKey derives the key of this controller from a key that is common to all controllers.
func (b *builder) deriveKey(field, common string) (own string, ok bool) {
	if _, err := signing.ParseKey(common); err != nil {
		b.file.AddProblem(field, err.Error(), "create a secret with: kitehub key new")
		return "", false
	}
	own, err := signing.DeriveSecret(common, b.cfg.Name)
	if err != nil {
		b.file.AddProblem(field, err.Error(), "")
		return "", false
	}
	return own, true
}

// answerKey parses the private key that signs the answers to a client.
func (b *builder) answerKey(field, text string) *signing.Key {
	key, err := signing.ParseKey(text)
	if err == nil && !strings.HasPrefix(text, "whsk_") {
		err = errors.New("not a whsk_ key")
	}
	if err != nil {
		b.file.AddProblem(field, err.Error(), "create one with: kitehub key new --asymmetric")
	}
	return key
}
