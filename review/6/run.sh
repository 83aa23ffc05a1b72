#!/usr/bin/env bash
# A front machine loses power while a release begins, and its streams are taken up at other
# machines. TROUBLE=0: it doesn't lose power.
cd "$(dirname "$0")/../.." || exit 2
record=review/6/record.txt
exec java -Xmx256m -cp target/review-2 Case6 "$record"
