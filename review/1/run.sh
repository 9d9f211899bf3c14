#!/bin/sh
# Stops three gateways of a zone in turn, again and again, while few orders come. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
# With TROUBLE=0 the stand-ins do the same without the disruption.
TROUBLE=${TROUBLE:-1} target/review/standin stopping "$dir" review/1/record.txt
