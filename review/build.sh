#!/usr/bin/env bash
# Builds the stand-ins of the scripts: checks that they load with the libraries
# that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.standin"
