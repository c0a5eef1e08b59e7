#!/bin/sh
# Builds the stand-ins and drivers of the cases 4 to 8 into target/review-2. They need the JDK alone, no dependency.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
