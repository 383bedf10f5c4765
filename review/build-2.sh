#!/bin/sh
# Builds the stand-ins and checks of the second review's cases into bin/review-2. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/review-2 ./review/harness2
