#!/usr/bin/env bash
# Runs the linters over the whole module: staticcheck with every check, revive with the rules of revive.toml. Their releases are
# pinned by .ci/tools/go.mod, a module of its own, so that the product's go.mod holds nothing for them; the module proxy is all
# that a new machine needs. Exit 0 only if neither of them finds anything. Both run, whatever the first one says.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
programs=$PWD/bin/tools
mkdir -p "$programs"
(cd .ci/tools && go build -o "$programs/" tool)
failed=0
"$programs/staticcheck" ./... || failed=1
"$programs/revive" -config revive.toml -formatter unix ./... || failed=1
exit "$failed"
