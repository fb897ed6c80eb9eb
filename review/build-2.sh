#!/bin/sh
# Builds what the cases 6 to 10 start beside the project's own programs, which the
# deploy file's build makes. The stand-in of the coordination service is a
# sub-command of bin/arrowwalk.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -tags review -o "bin/review-2/case-$n" "./review/$n"
  fi
done
