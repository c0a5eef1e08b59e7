#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs the jar of the deploy file's build command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -Xlint:none -d target/review -cp target/pineladder.jar review/standins/*.java
