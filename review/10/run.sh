#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out. record.txt tells what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -x review/bin/two ] && [ -x bin/kitehub ] || exit 2
timeout -k 5 110 review/bin/two policy "$root/bin/kitehub" "$here/record.txt"
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
