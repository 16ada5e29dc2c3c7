#!/bin/sh
# Builds the stand-ins of all cases into review/target. It needs no network: only the standard library.
set -e
mkdir -p "$(dirname "$0")/target"
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../target/standins .
