#!/usr/bin/env bash
# Runs the linters on the whole module: staticcheck with every check, and revive with the rules of
# revive.toml. .ci/tools/go.mod pins their releases. It is a module of its own so that the program's
# go.mod does not depend on the linters. A new machine needs only the module proxy. Both linters run
# even if the first one fails; the exit status is 0 only if neither finds anything.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
programs=$PWD/bin/tools
mkdir -p "$programs"
(cd .ci/tools && go build -o "$programs/" tool)
failed=0
"$programs/staticcheck" ./... || failed=1
"$programs/revive" -config revive.toml -formatter unix ./... || failed=1
exit "$failed"
