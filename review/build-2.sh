#!/bin/sh
# Builds what the cases 6 to 10 start beside the project's own programs, which the
# deploy file's build makes: the drivers, with the guest and the proxy in them, and the
# project's stand-in of the coordination service (bin/review-2/standin coord).
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
go build -o bin/review-2/standin ./cmd/arrowwalk
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -tags review -o "bin/review-2/case-$n" "./review/$n"
  fi
done
