#!/bin/sh
# Freezes the machine beside a runner between the check of its staged pieces and the order to load them. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
# With TROUBLE=0 the stand-ins do the same without the disruption.
TROUBLE=${TROUBLE:-1} target/review/standin freeze "$dir" review/4/record.txt
