#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/cornelridge ] || exit 2
# TROUBLE=0 leaves the disruption out.
exec target/review/standins large-config "$here/record.txt" "${TROUBLE:-1}"
