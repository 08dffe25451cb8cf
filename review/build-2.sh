#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: the project's programs, with its own stand-ins, as the deploy file
# says, and the cases' stand-ins and proxies. It needs no network once the project's modules are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin review/bin
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
go build -o review/bin/cases2 ./review/_cases2
