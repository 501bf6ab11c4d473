#!/bin/sh
# Builds the program that plays the clients and workers of the cases 6 to 10. The project's own
# program is built by the build command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/two ./review/testdata/two
