#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run. TROUBLE=0: without the late order and the cut.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec java -Xmx256m -cp target/review-classes review.Orders "$here" "${TROUBLE:-1}"
