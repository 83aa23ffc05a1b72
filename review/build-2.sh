#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases review/4 to review/8 into target/review-2.
# Needs only the JDK; the programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/src-2/*.java
