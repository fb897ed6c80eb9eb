#!/usr/bin/env bash
# Builds the stand-ins and the judge of the cases. It needs the Go tool chain and nothing from a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/case ./review/case
