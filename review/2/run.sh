#!/bin/sh
# Case 2 as a script; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# LARGE=0 keeps the configuration at 13 routes.
cd "$(dirname "$0")/../.."
exec java -Xmx256m -cp target/review WipesAfterChanges review/2/record.txt
