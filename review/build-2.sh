#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be loaded. They are Python
# and use the libraries that the build of the deploy file puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import review.harness_2"
