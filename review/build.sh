#!/bin/sh
# Builds the stand-ins of all cases into review/target. It needs no network: only the standard library.
set -e
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../target/standins .
