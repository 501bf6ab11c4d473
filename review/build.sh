#!/bin/sh
# Builds what the cases start beside the project's own programs, into review/bin.
cd "$(dirname "$0")/.." && mkdir -p review/bin && exec go build -o review/bin/ \
  ./review/testdata/registry-settings ./review/testdata/takeover-clients ./review/testdata/takeover-rpc
