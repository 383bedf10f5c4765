#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin
