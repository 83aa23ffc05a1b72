#!/bin/sh
# Builds the stand-ins of the cases in review/; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/src/*.java
