#!/bin/sh
# Plays case 3: see claim.txt. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/kitehub review/bin/takeover-rpc; do
  [ -x $program ] || { echo "$program is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
CASE=3 exec review/bin/takeover-rpc
