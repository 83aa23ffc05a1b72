#!/bin/sh
# Case 1 as a script; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.."
exec java -Xmx256m -cp target/review ManyChanges review/1/record.txt
