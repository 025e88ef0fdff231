#!/usr/bin/env bash
# With TROUBLE=0 it does the same without the disruption, and must exit with 0.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
exec python3 "$folder/trial.py"
